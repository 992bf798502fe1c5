// Package resource counts the processors, memory and accelerators of workers and tasks.
package resource

import "fmt"

// Amount is an amount of resources that a task needs, a worker has or an account uses.
type Amount struct {
	// CPU is in thousandths of a core.
	CPU int `cbor:"1,keyasint,omitempty"`
	// Memory is in MiB.
	Memory int `cbor:"2,keyasint,omitempty"`
	// Accelerators is the number of devices.
	Accelerators int `cbor:"3,keyasint,omitempty"`
}

// String returns the amount as it is logged, with CPU in thousandths of a core.
func (a Amount) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d accelerators", a.CPU, a.Memory, a.Accelerators)
}

// Add returns a + b.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

// Sub returns a - b.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.Memory - b.Memory, a.Accelerators - b.Accelerators}
}

// Times returns n times a.
func (a Amount) Times(n int) Amount {
	return Amount{a.CPU * n, a.Memory * n, a.Accelerators * n}
}

// Max returns the larger one of each resource of a and b.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.CPU, b.CPU), max(a.Memory, b.Memory), max(a.Accelerators, b.Accelerators)}
}

// Within reports whether a fits into the free capacity.
func (a Amount) Within(free Amount) bool {
	return a.CPU <= free.CPU && a.Memory <= free.Memory && a.Accelerators <= free.Accelerators
}

// WithinLimit is Within for limits, in which zero means that there is no limit.
func (a Amount) WithinLimit(limit Amount) bool {
	return withinLimit(a.CPU, limit.CPU) && withinLimit(a.Memory, limit.Memory) &&
		withinLimit(a.Accelerators, limit.Accelerators)
}

func withinLimit(n, limit int) bool { return limit == 0 || n <= limit }

// IsZero reports whether nothing is counted.
func (a Amount) IsZero() bool { return a == Amount{} }
