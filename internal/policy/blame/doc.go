// Package blame finds the part of prompts that crashes upstreams.
package blame
