// Package result defines the numbered result codes that all components report, the error type that
// carries them, and the table from which docs/ERRORS.md is generated.
//
// The table is constant after initialization. Everything except List is safe for concurrent use. The
// package does not depend on other packages of the project.
//
// Invariants: the number, name and meaning of a code never change; Code.NotRun is true only for codes
// which prove that no back end received the call.
package result

// Code is a numbered result. A code is never reused with another meaning, since operators' scripts and
// other releases depend on it.
type Code uint32

// Result codes. 1xxx settings, 2xxx validation of configuration, 3xxx operator
// requests, 4xxx distribution, 5xxx calls, 6xxx protocol, 7xxx platform.
const (
	OK Code = 0

	SettingsUnreadable         Code = 1001
	SettingsUnknownKey         Code = 1002
	SettingsBadAddress         Code = 1003
	SettingsMissing            Code = 1004
	SettingsBadNumber          Code = 1005
	SettingsBadTLS             Code = 1006
	SettingsAddressUnavailable Code = 1007

	ConfigBadName          Code = 2001
	ConfigUnknownPool      Code = 2002
	ConfigUnknownSecret    Code = 2003
	ConfigShareOverflow    Code = 2004
	ConfigBadPath          Code = 2005
	ConfigBadHost          Code = 2006
	ConfigBadKeyPair       Code = 2007
	ConfigBadLimit         Code = 2008
	ConfigDuplicateRoute   Code = 2009
	ConfigUnreadable       Code = 2010
	ConfigBadMethod        Code = 2011
	ConfigDuplicateObject  Code = 2012
	ConfigNothingToRemove  Code = 2013
	ConfigUnknownBackend   Code = 2014
	ConfigRetiredIsForever Code = 2015
	ConfigForeignSecret    Code = 2016

	OperatorUnauthenticated  Code = 3001
	OperatorForbidden        Code = 3002
	OperatorConflict         Code = 3003
	OperatorUnknownProposal  Code = 3004
	OperatorBadCommand       Code = 3005
	OperatorStaleProposal    Code = 3006
	OperatorWaitExpired      Code = 3007
	OperatorUnknownRevision  Code = 3008
	OperatorOutcomeUnknown   Code = 3009
	OperatorBusy             Code = 3010
	OperatorOperationReused  Code = 3011
	OperatorRequestMalformed Code = 3012

	DistributionDigestMismatch Code = 4001
	DistributionNotClosed      Code = 4002
	DistributionBelowFloor     Code = 4003
	DistributionNoFloor        Code = 4004
	DistributionParentFull     Code = 4005
	DistributionLoop           Code = 4006
	DistributionDetached       Code = 4007
	DistributionWrongBase      Code = 4008
	DistributionParentLost     Code = 4009
	DistributionBadBundle      Code = 4010
	DistributionSeatLost       Code = 4011
	DistributionNoReader       Code = 4012
	DistributionTooDeep        Code = 4013

	CallNoRoute           Code = 5001
	CallNoEndpoint        Code = 5002
	CallNotReady          Code = 5003
	CallNotRunDraining    Code = 5004
	CallNotRunOverloaded  Code = 5005
	CallNotRunExpired     Code = 5006
	CallNotRunUnreachable Code = 5007
	CallUnknownOutcome    Code = 5008
	CallDeadline          Code = 5009
	CallCancelled         Code = 5010
	CallTruncated         Code = 5011
	CallNotRunDuplicate   Code = 5012
	CallBadRequest        Code = 5013
	CallNotRunShed        Code = 5014
	CallNotRunUnknownHere Code = 5015
	CallNotRunStopping    Code = 5016
	CallHeadTooLarge      Code = 5017
	CallBodyTooLarge      Code = 5018
	CallRequestTimeout    Code = 5019
	CallNotRunEvacuated   Code = 5020
	CallNotRunCold        Code = 5021
	CallNotRunRegion      Code = 5022
	CallInstanceCrashed   Code = 5023
	CallNotRunQuarantined Code = 5024
	CallUnknownKey        Code = 5025
	CallRateLimited       Code = 5026
	CallKeysUnconfirmed   Code = 5027
	CallLimitUnknown      Code = 5028
	CallNotRunLimited     Code = 5029

	ProtocolBadFrame    Code = 6001
	ProtocolTooLarge    Code = 6002
	ProtocolBadVersion  Code = 6003
	ProtocolUnexpected  Code = 6004
	ProtocolUntrusted   Code = 6005
	ProtocolTimeout     Code = 6006
	ProtocolFlowControl Code = 6007

	PlatformUnavailable  Code = 7001
	PlatformConflict     Code = 7002
	PlatformNotFound     Code = 7003
	PlatformCompacted    Code = 7004
	PlatformTooManyWatch Code = 7005
	PlatformBadAnswer    Code = 7006
	PlatformNotModified  Code = 7007
)

// String returns the code's name as used in logs, or unknown-code for a code of a later release.
func (c Code) String() string {
	if entry, ok := byCode[c]; ok {
		return entry.Name
	}
	return "unknown-code"
}

// Validation reports whether the code belongs to the validation of configurations.
func (c Code) Validation() bool { return c >= ConfigBadName && c < OperatorUnauthenticated }

// Call reports whether the code is one of calls (5xxx), including those of later releases.
func (c Code) Call() bool { return c >= CallNoRoute && c < ProtocolBadFrame }

// NotRun reports whether the code proves that a call did not run, so that it may be retried even if the
// call is not repeatable.
func (c Code) NotRun() bool {
	switch c {
	case CallNoRoute, CallNoEndpoint, CallNotReady, CallNotRunDraining, CallNotRunOverloaded,
		CallNotRunExpired, CallNotRunUnreachable, CallNotRunDuplicate, CallBadRequest,
		CallNotRunShed, CallNotRunUnknownHere, CallNotRunStopping, CallHeadTooLarge, CallBodyTooLarge, CallRequestTimeout,
		CallNotRunEvacuated, CallNotRunCold, CallNotRunRegion, CallNotRunQuarantined,
		CallUnknownKey, CallRateLimited, CallKeysUnconfirmed, CallLimitUnknown, CallNotRunLimited:
		return true
	default:
		return false
	}
}
