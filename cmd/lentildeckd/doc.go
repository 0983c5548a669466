// Command lentildeckd is one entry instance.
package main
