package meshconfig

import (
	"crypto/sha256"
	"encoding/hex"

	"sigs.k8s.io/yaml"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// MaxProposalBytes is the maximum size of a proposal file.
const MaxProposalBytes = 4 << 20

// File is the YAML format of an operator's proposal.
type File struct {
	Pools   []PoolFile   `json:"pools,omitempty"`
	Routes  []RouteFile  `json:"routes,omitempty"`
	Secrets []SecretFile `json:"secrets,omitempty"`
	Shares  []ShareFile  `json:"shares,omitempty"`
	// Accounts are the accounts of callers; only administrators may propose them.
	Accounts []AccountFile `json:"accounts,omitempty"`
	Remove   []RemoveFile  `json:"remove,omitempty"`
}

// The types below are the objects of a proposal file; the messages of api/lapisv1
// document their fields.

// PoolFile is one pool.
type PoolFile struct {
	Name            string   `json:"name"`
	Group           string   `json:"group"`
	Slots           uint32   `json:"slots"`
	ConnectionLimit uint32   `json:"connection_limit"`
	Drained         []string `json:"drained,omitempty"`
	Retired         []string `json:"retired,omitempty"`
}

// RouteFile is one route.
type RouteFile struct {
	Name           string   `json:"name"`
	Group          string   `json:"group"`
	Pool           string   `json:"pool"`
	Host           string   `json:"host,omitempty"`
	PathPrefix     string   `json:"path_prefix"`
	Methods        []string `json:"methods,omitempty"`
	Secret         string   `json:"secret,omitempty"`
	Repeatable     bool     `json:"repeatable,omitempty"`
	Background     bool     `json:"background,omitempty"`
	Upload         bool     `json:"upload,omitempty"`
	DeadlineMillis uint32   `json:"deadline_millis,omitempty"`
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	Public         bool     `json:"public,omitempty"`
}

// SecretFile is one TLS key pair.
type SecretFile struct {
	Name           string `json:"name"`
	Group          string `json:"group"`
	CertificatePEM string `json:"certificate_pem"`
	PrivateKeyPEM  string `json:"private_key_pem"`
}

// ShareFile is one share.
type ShareFile struct {
	Name    string `json:"name"`
	Group   string `json:"group"`
	Pool    string `json:"pool"`
	Percent uint32 `json:"percent"`
}

// AccountFile is one account. A key is given in plain text (APIKeys) or as its SHA-256 in hexadecimal
// digits (KeyDigests), so that the file need not contain a secret. Only digests are kept.
type AccountFile struct {
	Name           string   `json:"name"`
	APIKeys        []string `json:"api_keys,omitempty"`
	KeyDigests     []string `json:"key_digests,omitempty"`
	Priority       uint32   `json:"priority,omitempty"`
	CallsPerSecond float64  `json:"calls_per_second,omitempty"`
	Burst          uint32   `json:"burst,omitempty"`
}

// RemoveFile identifies an object to remove.
type RemoveFile struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// ParseFile parses a proposal file; unknown fields are errors. Errors: ConfigUnreadable.
func ParseFile(content []byte) ([]*lapisv1.Change, error) {
	if len(content) > MaxProposalBytes {
		return nil, result.Errorf(result.ConfigUnreadable, "the file is larger than %d bytes", MaxProposalBytes)
	}
	var file File
	if err := yaml.UnmarshalStrict(content, &file); err != nil {
		return nil, result.Wrap(result.ConfigUnreadable, err, "parsing the proposal")
	}
	return file.Changes()
}

// Changes converts the file's objects to changes. Errors: ConfigUnreadable for a removal
// of an unknown kind and for a malformed key digest.
func (f *File) Changes() ([]*lapisv1.Change, error) {
	var changes []*lapisv1.Change
	for _, pool := range f.Pools {
		changes = append(changes, ChangeOfPool(&lapisv1.Pool{
			Name: pool.Name, Group: pool.Group, Slots: pool.Slots, ConnectionLimit: pool.ConnectionLimit,
			Drained: pool.Drained, Retired: pool.Retired,
		}))
	}
	for _, route := range f.Routes {
		changes = append(changes, &lapisv1.Change{Object: &lapisv1.Change_Route{Route: route.message()}})
	}
	for _, secret := range f.Secrets {
		changes = append(changes, &lapisv1.Change{Object: &lapisv1.Change_Secret{Secret: &lapisv1.Secret{
			Name: secret.Name, Group: secret.Group,
			CertificatePem: []byte(secret.CertificatePEM), PrivateKeyPem: []byte(secret.PrivateKeyPEM),
		}}})
	}
	for _, share := range f.Shares {
		changes = append(changes, &lapisv1.Change{Object: &lapisv1.Change_Share{Share: &lapisv1.Share{
			Name: share.Name, Group: share.Group, Pool: share.Pool, Percent: share.Percent,
		}}})
	}
	for index, accountFile := range f.Accounts {
		message, err := accountFile.message(index)
		if err != nil {
			return nil, err
		}
		changes = append(changes, &lapisv1.Change{Object: &lapisv1.Change_Account{Account: message}})
	}
	for _, removal := range f.Remove {
		switch removal.Kind {
		case KindPool, KindRoute, KindSecret, KindShare, KindAccount:
			changes = append(changes, &lapisv1.Change{RemovedKind: string(removal.Kind), RemovedName: removal.Name})
		default:
			return nil, result.Errorf(result.ConfigUnreadable, "remove: unknown kind %q", removal.Kind)
		}
	}
	return changes, nil
}

// ChangeOfPool returns the change that replaces a pool.
func ChangeOfPool(pool *lapisv1.Pool) *lapisv1.Change {
	return &lapisv1.Change{Object: &lapisv1.Change_Pool{Pool: pool}}
}

func (r RouteFile) message() *lapisv1.Route {
	return &lapisv1.Route{
		Name: r.Name, Group: r.Group, Pool: r.Pool, Host: r.Host,
		PathPrefix: r.PathPrefix, Methods: r.Methods, Secret: r.Secret,
		AllowedRegions: r.AllowedRegions,
		CallClass: &lapisv1.CallClass{
			Repeatable: r.Repeatable, Background: r.Background, Upload: r.Upload,
			DeadlineMillis: r.DeadlineMillis,
		},
		Public: r.Public,
	}
}

// message converts an account with the given index in its file. Errors: ConfigUnreadable; the message
// leaves out the malformed digest, which may be a key.
func (a AccountFile) message(index int) (*lapisv1.Account, error) {
	message := &lapisv1.Account{Name: a.Name, Priority: a.Priority, CallsPerSecond: a.CallsPerSecond, Burst: a.Burst}
	for _, key := range a.APIKeys {
		digest := account.DigestOf([]byte(key))
		message.KeyDigests = append(message.KeyDigests, digest[:])
	}
	for place, encoded := range a.KeyDigests {
		digest, err := hex.DecodeString(encoded)
		if err != nil || len(digest) != sha256.Size {
			return nil, result.Errorf(result.ConfigUnreadable, "accounts[%d].key_digests[%d] is not a SHA-256 in hexadecimal digits", index, place)
		}
		message.KeyDigests = append(message.KeyDigests, digest[:account.DigestBytes])
	}
	return message, nil
}
