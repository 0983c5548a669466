// Command lentildeckd runs one entry instance.
package main
