package strictyaml

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// NewValidator returns a validator that names fields as in YAML and knows the
// tag ip_port: an IP address with a port.
func NewValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := yamlName(f)
		return name
	})
	// The tag is a constant and the function is not nil, so that registering cannot fail.
	_ = v.RegisterValidation("ip_port", func(level validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(level.Field().String())
		return err == nil
	})
	return v
}

// Validate runs v over target and returns a fault for each violation outside
// of the fields that could not be decoded.
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

// violationPath drops the type's name and the names of embedded structs.
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
