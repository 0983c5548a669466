// Command standin2 has the stand-ins and the cases of the second review.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	cases := map[string]func(folder string, trouble bool){"crashes": caseCrashes, "pauses": casePauses, "twice": caseTwice}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
}
