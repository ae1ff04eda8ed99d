// Package abuse tests a real entry VM process against callers outside the limits. Its tests
// check memory, descriptors and survival, and run one at a time.
package abuse
