// Command lentildeck is the operators' command-line client.
package main
