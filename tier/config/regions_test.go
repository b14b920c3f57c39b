package config

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseRegions(t *testing.T) {
	tests := []struct {
		text, want string
		ok         bool
	}{
		{"", "", true},
		{"b=West,a=East", "a=East,b=West", true},
		{" a=East , b=East", "a=East,b=East", true},
		{"a=East,a=East", "a=East", true},
		{"a=East,a=West", "", false},
		{"a", "", false},
		{"=East", "", false},
		{"a=", "", false},
		{"a=East,", "", false},
		{`{}`, "", true},
		{`{"b":"West","a":"East"}`, "a=East,b=West", true},
		{`{"a":"","":"East"}`, "", true},
		{`{"3rd, hall = b":"Über $HOME #1"}`, `{"3rd, hall = b":"Über $HOME #1"}`, true},
		{`{"a":"East"`, "", false},
		{`{"a":7}`, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			r, err := ParseRegions(tt.text)
			assert.Equal(t, err == nil, tt.ok, "%v", err)
			assert.Assert(t, tt.ok || errors.Is(err, errRegion))
			assert.Equal(t, r.String(), tt.want)
		})
	}
}

func TestIsHome(t *testing.T) {
	r := Regions{"a": "East", "b": "West"}
	tests := []struct {
		hall  string
		homes []string
		want  bool
	}{
		{"a", nil, true},
		{"unknown", nil, true},
		{"a", []string{"East"}, true},
		{"b", []string{"East"}, false},
		{"b", []string{"East", "West"}, true},
		{"unknown", []string{"East"}, false},
		{"unknown", []string{""}, false},
		{"", []string{""}, false},
	}
	for _, tt := range tests {
		assert.Equal(t, r.IsHome(tt.hall, tt.homes), tt.want, "%s %v", tt.hall, tt.homes)
	}
}
