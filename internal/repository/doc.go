// Package repository holds tests of what concerns the repository as a whole: the pages and scripts beside the code.
package repository
