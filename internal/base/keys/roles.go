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

// Role is what somebody may do; it is an organisational unit of the certificate.
type Role string

// Roles. An operator with RoleForce may also change, and one with RoleChange may also read.
const (
	RoleRead   Role = "read"
	RoleChange Role = "change"
	RoleForce  Role = "force"
	// RoleNode is the role of entries and slots. It is no operator's.
	RoleNode Role = "node"
)

// stronger are the roles that include a role.
var stronger = map[Role][]Role{
	RoleRead:   {RoleRead, RoleChange, RoleForce},
	RoleChange: {RoleChange, RoleForce},
	RoleForce:  {RoleForce},
	RoleNode:   {RoleNode},
}

// RoleError says that somebody's certificate does not have a role.
type RoleError struct {
	Name string
	Role Role
}

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("the certificate of %q does not have the role %q", e.Name, e.Role)
}

// OperatorError says that a change names somebody else than the certificate does.
type OperatorError struct{ Named, Certificate string }

// Error implements error.
func (e *OperatorError) Error() string {
	return fmt.Sprintf("the change names the operator %q, the certificate %q", e.Named, e.Certificate)
}

// identity is who a certificate says somebody is.
type identity struct {
	Name  string
	Roles []string
}

func identityOf(c *x509.Certificate) identity {
	return identity{c.Subject.CommonName, c.Subject.OrganizationalUnit}
}

func (i identity) has(r Role) bool {
	return slices.ContainsFunc(stronger[r], func(s Role) bool { return slices.Contains(i.Roles, string(s)) })
}

type identityKey struct{}

// operatorPath is where the operators' RPC is served; all other RPC is between nodes.
const operatorPath = "/" + cardamomyokev1connect.OperatorServiceName + "/"

// openPaths need a valid certificate and no role.
var openPaths = []string{"/metrics", "/healthz"}

// RequireNodeRole lets only nodes through, but for the operators' RPC, where Interceptor decides, and for metrics and health. What
// is added to the port later is closed to operators until it says otherwise.
func RequireNodeRole(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
			http.Error(w, "a certificate is needed", http.StatusUnauthorized)
			return
		}
		who := identityOf(r.TLS.PeerCertificates[0])
		isOperators := strings.HasPrefix(r.URL.Path, operatorPath)
		if !isOperators && !slices.Contains(openPaths, r.URL.Path) && !who.has(RoleNode) {
			http.Error(w, (&RoleError{who.Name, RoleNode}).Error(), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, who)))
	})
}

// needed is the role that each procedure needs; Act depends on its action. A procedure without one is refused.
var needed = map[string]Role{
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
		return RoleForce // also for actions that are added later
	}
	return needed[procedure]
}

// Interceptor checks an operator's role, and that a change names the operator of the certificate: else the audit could
// be made to name somebody else. Handlers that use it must be behind RequireNodeRole.
type Interceptor struct{}

var _ connect.Interceptor = Interceptor{}

// WrapUnary implements connect.Interceptor.
func (Interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if err := allow(ctx, r.Spec().Procedure, r.Any()); err != nil {
			return nil, err
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor; it changes nothing.
func (Interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (Interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		if err := allow(ctx, c.Spec().Procedure, nil); err != nil {
			return err
		}
		return next(ctx, c)
	}
}

func allow(ctx context.Context, procedure string, message any) error {
	who, ok := ctx.Value(identityKey{}).(identity)
	if !ok {
		return connect.NewError(connect.CodeUnauthenticated, &NoCertificateError{})
	}
	role := roleFor(procedure, message)
	if !who.has(role) {
		return connect.NewError(connect.CodePermissionDenied, &RoleError{who.Name, role})
	}
	change, ok := message.(interface {
		GetMeta() *cardamomyokev1.ChangeMeta
	})
	if ok && change.GetMeta().GetOperator() != who.Name {
		return connect.NewError(connect.CodePermissionDenied, &OperatorError{change.GetMeta().GetOperator(), who.Name})
	}
	return nil
}
