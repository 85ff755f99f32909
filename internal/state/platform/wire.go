package platform

// The platform's protocol: JSON over HTTP, one POST for each call of the table, plain bodies for objects.
const (
	// PathGet takes GetRequest and answers RowsAnswer.
	PathGet = "/v1/table/get"
	// PathList takes ListRequest and answers RowsAnswer.
	PathList = "/v1/table/list"
	// PathCommit takes Txn and answers Result, or 409 with RowsAnswer for a conflict.
	PathCommit = "/v1/table/commit"
	// PathObjects is followed by the object's name; PUT stores and GET reads.
	PathObjects = "/v1/objects/"
	// PathHosts answers HostsAnswer.
	PathHosts = "/v1/hosts"
	// PathWeights is followed by the group's name and answers RateAnswer.
	PathWeights = "/v1/weights/"
)

// GetRequest asks for rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest asks for the rows of a prefix in key order.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsAnswer carries rows.
type RowsAnswer struct {
	Rows []Row `json:"rows"`
}

// HostsAnswer carries the host list and its age.
type HostsAnswer struct {
	Hosts []Host `json:"hosts"`
	AgeMS int64  `json:"age_ms"`
}

// RateAnswer carries the rate of the weight store for one group.
type RateAnswer struct {
	BytesPerSecond uint64 `json:"bytes_per_second"`
}
