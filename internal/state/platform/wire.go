package platform

// The platform's protocol: JSON over HTTP, one POST for each call of the table, plain bodies for objects.
const (
	// PathGet takes GetRequest and answers RowsResponse.
	PathGet = "/v1/table/get"
	// PathList takes ListRequest and answers RowsResponse.
	PathList = "/v1/table/list"
	// PathCommit takes Txn and answers Result, or 409 with RowsResponse for a conflict.
	PathCommit = "/v1/table/commit"
	// PathObjects is followed by the object's name; PUT stores and GET reads.
	PathObjects = "/v1/objects/"
	// PathHosts answers HostsResponse.
	PathHosts = "/v1/hosts"
	// PathWeights is followed by the group's name and answers RateResponse.
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

// RowsResponse carries rows.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// HostsResponse carries the host list and its age.
type HostsResponse struct {
	Hosts []Host `json:"hosts"`
	AgeMS int64  `json:"age_ms"`
}

// RateResponse carries the rate of the weight store for one group.
type RateResponse struct {
	BytesPerSecond uint64 `json:"bytes_per_second"`
}
