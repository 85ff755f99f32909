package platform

// Paths of the platform's protocol: JSON over HTTP, with one POST for each call of the table and plain bodies for
// objects.
const (
	// PathGet accepts a GetRequest and returns a RowsResponse.
	PathGet = "/v1/table/get"
	// PathList accepts a ListRequest and returns a RowsResponse.
	PathList = "/v1/table/list"
	// PathCommit accepts a Txn and returns a Result, or 409 with a RowsResponse on conflict.
	PathCommit = "/v1/table/commit"
	// PathObjects is followed by the object's name; PUT stores it and GET reads it.
	PathObjects = "/v1/objects/"
	// PathHosts returns a HostsResponse.
	PathHosts = "/v1/hosts"
	// PathWeights is followed by the group's name; GET returns a RateResponse.
	PathWeights = "/v1/weights/"
)

// GetRequest requests rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest requests rows with a key prefix, sorted by key.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse contains rows.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// HostsResponse contains the host list and its age.
type HostsResponse struct {
	Hosts []Host `json:"hosts"`
	AgeMS int64  `json:"age_ms"`
}

// RateResponse contains the rate of the weight store for one group.
type RateResponse struct {
	BytesPerSecond uint64 `json:"bytes_per_second"`
}
