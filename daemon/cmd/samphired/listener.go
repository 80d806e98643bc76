package main

// refusalResponse is sent on connections over the limit. Their request is not read.
const refusalResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Samphire-Verdict: not-run\r\n" +
	"Retry-After: 1\r\n" +
	"Connection: close\r\n" +
	"Content-Length: 0\r\n\r\n"
