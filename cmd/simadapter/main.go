// Command simadapter hosts instances of the balancer for the simulator, which sends batches of events on standard input and
// reads one reply to each from standard output. It exits with 0 at the end of the input and with 1 at an error.
package main

import (
	"fmt"
	"os"

	"example.org/ryeloft/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
