package strictyaml

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// NewValidator returns a validator that uses the YAML names of fields and supports
// the tag ip_port: an IP address with a port.
func NewValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := yamlName(f)
		return name
	})
	// Registration fails only for an empty tag or a nil function.
	_ = v.RegisterValidation("ip_port", func(level validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(level.Field().String())
		return err == nil
	})
	return v
}

// Validate validates target with v and returns a fault for each violation. Fields that
// could not be decoded are left out.
func (s *Source) Validate(v *validator.Validate, target any) Faults {
	var violations validator.ValidationErrors
	err := v.Struct(target)
	if err == nil {
		return nil
	}
	if !errors.As(err, &violations) {
		return Faults{{Message: err.Error()}}
	}
	var faults Faults
	for _, violation := range violations {
		path := violationPath(target, violation)
		if !s.isFaulty(path) {
			faults = append(faults, s.Fault(path, "%s", violationText(violation)))
		}
	}
	return faults
}

// violationPath returns the path of the field. The namespace of a violation also has
// the name of the type and of the embedded struct Common, which are removed.
func violationPath(target any, violation validator.FieldError) string {
	path := violation.Namespace()
	name := reflect.TypeOf(target).Elem().Name()
	path = strings.TrimPrefix(path, name+".")
	return strings.TrimPrefix(path, "Common.")
}

func violationText(violation validator.FieldError) string {
	param := violation.Param()
	switch violation.Tag() {
	case "required", "required_with", "required_without", "required_if":
		return "the field is required"
	case "oneof":
		return "must be one of: " + strings.ReplaceAll(param, " ", ", ")
	case "gte":
		return "must be at least " + param
	case "gt":
		return "must be more than " + param
	case "lte":
		return "must be at most " + param
	case "min":
		return "needs at least " + param
	case "max":
		return "must not be longer than " + param
	case "hostname_port":
		return "must be a host and a port"
	case "ip_port":
		return "must be an IP address and a port"
	case "datetime":
		return "must be a time of day as hours and minutes, such as 08:30"
	case "timezone":
		return "must be a time zone name, such as America/Guayaquil"
	case "startswith":
		return "must start with " + param
	case "url":
		return "must be a URL"
	default:
		return fmt.Sprintf("does not satisfy %s %s", violation.Tag(), param)
	}
}
