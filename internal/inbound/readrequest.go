package inbound

import (
	"cmp"
	"errors"
	"io"
	"syscall"

	"example.org/ryeloft/internal/framing"
)

// readRequestBytes reads from a descriptor, at most to the end of the current request, and follows what it has read. What
// the client has sent after that request stays in the kernel.
func readRequestBytes(requests *framing.Requests, fd int, p []byte) (int, error) {
	if body := requests.BodyBytes(); body > 0 {
		n, err := readDescriptor(fd, p[:min(int64(len(p)), body)])
		if err != nil || n == 0 {
			return 0, cmp.Or(err, io.EOF)
		}
		requests.Skip(n)
		return n, nil
	}
	n, err := peekDescriptor(fd, p)
	if err != nil || n == 0 {
		return 0, cmp.Or(err, io.EOF)
	}
	return readDescriptor(fd, p[:requests.Scan(p[:n])])
}

// peekDescriptor copies what can be read from a descriptor without reading it, and retries if a signal interrupts it.
func peekDescriptor(fd int, p []byte) (int, error) {
	for {
		n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// readDescriptor reads from a descriptor, and retries if a signal interrupts the read.
func readDescriptor(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
