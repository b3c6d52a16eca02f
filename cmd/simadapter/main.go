// Command simadapter hosts instances of the balancer for the simulator. The simulator sends batches of events on
// standard input and reads one reply per batch from standard output. The exit status is 0 at the end of the input and 1
// on an error.
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
