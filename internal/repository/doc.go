// Package repository has tests for the repository as a whole, such as its documentation and scripts.
package repository
