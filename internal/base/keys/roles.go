package keys

import (
	"context"
	"crypto/x509"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"connectrpc.com/connect"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
)

// Role is a set of permissions. A certificate lists its roles as organisational units.
type Role string

// The roles. RoleForce includes RoleChange, and RoleChange includes RoleRead.
const (
	RoleRead   Role = "read"
	RoleChange Role = "change"
	RoleForce  Role = "force"
	// RoleNode is the role of entries and slots. No operator role includes it.
	RoleNode Role = "node"
)

// includedBy maps each role to the roles that include it.
var includedBy = map[Role][]Role{
	RoleRead:   {RoleRead, RoleChange, RoleForce},
	RoleChange: {RoleChange, RoleForce},
	RoleForce:  {RoleForce},
	RoleNode:   {RoleNode},
}

// RoleError reports that a certificate lacks a role.
type RoleError struct {
	Name string
	Role Role
}

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("the certificate of %q does not have the role %q", e.Name, e.Role)
}

// OperatorError reports that a change names an operator other than the one in the caller's certificate.
type OperatorError struct{ Named, Certificate string }

// Error implements error.
func (e *OperatorError) Error() string {
	return fmt.Sprintf("the change names the operator %q, the certificate %q", e.Named, e.Certificate)
}

// identity is the name and the roles in a certificate.
type identity struct {
	Name  string
	Roles []string
}

func identityOf(c *x509.Certificate) identity {
	return identity{c.Subject.CommonName, c.Subject.OrganizationalUnit}
}

func (i identity) has(r Role) bool {
	return slices.ContainsFunc(includedBy[r], func(s Role) bool { return slices.Contains(i.Roles, string(s)) })
}

type identityKey struct{}

// operatorPath is the path prefix of the operators' RPC; all other RPC is between nodes.
const operatorPath = "/" + cardamomyokev1connect.OperatorServiceName + "/"

// openPaths require a valid certificate but no role.
var openPaths = []string{"/metrics", "/healthz"}

// Authorize wraps next and rejects requests without a client certificate. It requires the node role, except for the
// operators' RPC, where Interceptor checks the role, and for /metrics and /healthz. Handlers that are added to the port
// later are therefore closed to operators by default. Authorize stores the caller's identity in the request's context for
// Interceptor.
func Authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
			http.Error(w, "a certificate is needed", http.StatusUnauthorized)
			return
		}
		caller := identityOf(r.TLS.PeerCertificates[0])
		isOperatorRPC := strings.HasPrefix(r.URL.Path, operatorPath)
		if !isOperatorRPC && !slices.Contains(openPaths, r.URL.Path) && !caller.has(RoleNode) {
			http.Error(w, (&RoleError{caller.Name, RoleNode}).Error(), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, caller)))
	})
}

// requiredRoles maps each procedure to the role that it requires; for Act, roleFor decides by the action. A procedure that
// is not listed is refused.
var requiredRoles = map[string]Role{
	cardamomyokev1connect.OperatorServiceDiffProcedure:          RoleRead,
	cardamomyokev1connect.OperatorServiceListProcedure:          RoleRead,
	cardamomyokev1connect.OperatorServiceGetOperationProcedure:  RoleRead,
	cardamomyokev1connect.OperatorServiceListRevisionsProcedure: RoleRead,
	cardamomyokev1connect.OperatorServiceGetStatusProcedure:     RoleRead,
	cardamomyokev1connect.OperatorServiceWatchProcedure:         RoleRead,
	cardamomyokev1connect.OperatorServiceListAuditProcedure:     RoleRead,
	cardamomyokev1connect.OperatorServiceChangeProcedure:        RoleChange,
	cardamomyokev1connect.OperatorServiceRollForwardProcedure:   RoleChange,
	cardamomyokev1connect.OperatorServiceOrderProcedure:         RoleChange,
	cardamomyokev1connect.OperatorServiceActProcedure:           RoleChange,
}

func roleFor(procedure string, message any) Role {
	if act, ok := message.(*cardamomyokev1.ActRequest); ok {
		switch act.GetAction().(type) {
		case *cardamomyokev1.ActRequest_PauseRebalancing, *cardamomyokev1.ActRequest_DrainUpstream:
			return RoleChange
		}
		return RoleForce // the default also applies to actions that are added later
	}
	return requiredRoles[procedure]
}

// Interceptor checks that an operator has the required role, and that a change names the operator of the certificate.
// Otherwise an operator could have changes recorded in the audit under another name. Handlers that use it must be wrapped
// by Authorize.
type Interceptor struct{}

var _ connect.Interceptor = Interceptor{}

// WrapUnary implements connect.Interceptor.
func (Interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if err := authorizeOperator(ctx, r.Spec().Procedure, r.Any()); err != nil {
			return nil, err
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor. It returns next unchanged.
func (Interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (Interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		if err := authorizeOperator(ctx, c.Spec().Procedure, nil); err != nil {
			return err
		}
		return next(ctx, c)
	}
}

func authorizeOperator(ctx context.Context, procedure string, message any) error {
	caller, ok := ctx.Value(identityKey{}).(identity)
	if !ok {
		return connect.NewError(connect.CodeUnauthenticated, &NoCertificateError{})
	}
	role := roleFor(procedure, message)
	if !caller.has(role) {
		return connect.NewError(connect.CodePermissionDenied, &RoleError{caller.Name, role})
	}
	change, ok := message.(interface {
		GetMeta() *cardamomyokev1.ChangeMeta
	})
	if ok && change.GetMeta().GetOperator() != caller.Name {
		return connect.NewError(connect.CodePermissionDenied, &OperatorError{change.GetMeta().GetOperator(), caller.Name})
	}
	return nil
}
