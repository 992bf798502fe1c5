package certificate

import "fmt"

// FileError reports a file that cannot be used. The last valid files stay in use.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("certificate file %s: %v", e.File, e.Err) }
func (e *FileError) Unwrap() error { return e.Err }

// PeriodError reports a certificate that is not yet valid or has expired.
type PeriodError struct{ NotBefore, NotAfter string }

func (e *PeriodError) Error() string {
	return fmt.Sprintf("valid only from %s to %s", e.NotBefore, e.NotAfter)
}

// EmptyCAFileError reports a CA file without a PEM certificate.
type EmptyCAFileError struct{}

func (e *EmptyCAFileError) Error() string { return "no PEM certificate found" }
