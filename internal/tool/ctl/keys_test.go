package ctl_test

import (
	"strings"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/base/keys/keystest"
	"github.com/cardamomyoke/cardamomyoke/internal/tool/ctl"
)

// Guards against an operator who calls more than the role in the certificate permits or acts under another name, and
// against unusable keys that are not reported as such.
func TestCommandsWithKeys(t *testing.T) {
	ca := keystest.New(t)
	d := deployWith(t, keystest.Load(t, ca.Issue("e1", keys.RoleNode)))
	runAs := func(s keys.Settings, text, args string) result {
		t.Helper()
		all := strings.Fields(args + " --reason test --wait 1m")
		return run(t, d.address, text, append(all, "--ca", s.CA, "--certificate", s.Certificate, "--key", s.Key)...)
	}
	change, force := ca.Issue("ana", keys.RoleChange), ca.Issue("ben", keys.RoleForce)
	check(t, step{out: []string{"revision 1 is accepted"}}, runAs(change, firstConfig, "apply -f FILE"))
	check(t, step{code: ctl.ExitRefused, err: []string{`"read"`, `"change"`}}, runAs(ca.Issue("read", keys.RoleRead), "", "drain u1"))
	check(t, step{code: ctl.ExitRefused, err: []string{"ben", "ana"}}, runAs(change, "", "drain u1 --operator ben"))
	check(t, step{code: ctl.ExitRefused, err: []string{`"force"`}}, runAs(change, "", "force release-lease map/g"))
	check(t, step{out: []string{"done"}}, runAs(force, "", "force release-lease map/g"))
	check(t, step{code: ctl.ExitUnavailable}, runAs(keystest.New(t).Issue("ana", keys.RoleForce), "", "drain u1"))
	check(t, step{code: ctl.ExitUsage, err: []string{"go together"}}, run(t, d.address, "", "status", "--ca", change.CA))
	check(t, step{code: ctl.ExitUsage, err: []string{"no certificate"}}, runAs(keys.Settings{CA: change.Key, Certificate: change.Certificate, Key: change.Key}, "", "drain u1"))
}
