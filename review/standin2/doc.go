// Package standin2 has the stand-ins that the cases in review/6 to review/10 share: clients, counter servers, discovery
// and the platform that starts the project's programs. They follow the pages; a case makes them misbehave only in the
// way that its claim.txt quotes.
package standin2
