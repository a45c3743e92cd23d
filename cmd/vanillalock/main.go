// Command vanillalock is the scheduler's single binary.
package main

func main() {}
