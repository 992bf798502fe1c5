package certificate

import "fmt"

// FileError reports a file that cannot be used; the last good files stay in force.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("certificate file %s: %v", e.File, e.Err) }
func (e *FileError) Unwrap() error { return e.Err }

// PeriodError reports a certificate outside its validity period.
type PeriodError struct{ NotBefore, NotAfter string }

func (e *PeriodError) Error() string {
	return fmt.Sprintf("valid only from %s to %s", e.NotBefore, e.NotAfter)
}

// AuthorityError reports a file of authorities without a certificate.
type AuthorityError struct{}

func (e *AuthorityError) Error() string { return "no PEM certificate found" }
