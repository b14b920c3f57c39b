package config

import (
	"flag"
	"fmt"
	"strings"
)

// VariableError reports an environment variable whose value its flag refuses.
type VariableError struct {
	Flag     string
	Variable string
	Err      error
}

// Error implements error.
func (e *VariableError) Error() string { return fmt.Sprintf("%s: %v", e.Variable, e.Err) }

// Unwrap returns the error of the flag.
func (e *VariableError) Unwrap() error { return e.Err }

// Lookup returns the value of a variable and whether it is set.
type Lookup func(variable string) (string, bool)

// ChainLookups returns a Lookup that tries the sources in order.
func ChainLookups(sources ...Lookup) Lookup {
	return func(variable string) (string, bool) {
		for _, s := range sources {
			if v, ok := s(variable); ok {
				return v, true
			}
		}
		return "", false
	}
}

// SetFlagsFromEnv sets the flags that are not given on the command line from variables:
// -Host from the prefix followed by HOST. It returns the first error, a *VariableError.
func SetFlagsFromEnv(f *flag.FlagSet, prefix string, lookup Lookup) error {
	given := map[string]bool{}
	f.Visit(func(x *flag.Flag) { given[x.Name] = true })
	var first error
	f.VisitAll(func(x *flag.Flag) {
		variable := prefix + strings.ToUpper(x.Name)
		v, ok := lookup(variable)
		if !ok || given[x.Name] || first != nil {
			return
		}
		if err := f.Set(x.Name, v); err != nil {
			first = &VariableError{Flag: x.Name, Variable: variable, Err: err}
		}
	})
	return first
}
