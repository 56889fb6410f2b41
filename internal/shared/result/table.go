package result

import "sort"

// Entry is one row of the table of result codes.
type Entry struct {
	Code Code
	// Name is the unique name in logs and answers.
	Name string
	// Meaning is a short description for callers and operators. Action is the recommended action.
	Meaning string
	Action  string
}

// entries is the table of result codes, from which docs/ERRORS.md is generated.
var entries = []Entry{
	{OK, "ok", "The request was done.", "None."},
	{SettingsUnreadable, "settings-unreadable", "The settings file is missing or is not valid YAML.", "Correct the file; the message gives the line."},
	{SettingsUnknownKey, "settings-unknown-key", "The settings file has a key that the program does not know.", "Remove or correct the named key."},
	{SettingsBadAddress, "settings-bad-address", "An address is not an IP number with a port.", "Write it as 10.0.0.1:7400."},
	{SettingsMissing, "settings-missing", "A required setting is absent.", "Set the named key."},
	{SettingsBadNumber, "settings-bad-number", "A number is negative or out of its range.", "Correct the named key."},
	{SettingsBadTLS, "settings-bad-tls", "A certificate, key or authority file cannot be used.", "Correct the named file."},
	{SettingsAddressUnavailable, "settings-address-unavailable", "A listen address cannot be opened: another process has it, or this machine does not.", "End the other process or correct the address; a daemon retries until start_limit."},
	{ConfigBadName, "config-bad-name", "An object's name has characters other than a-z, 0-9, '-' and '.', or is too long.", "Rename the object."},
	{ConfigUnknownPool, "config-unknown-pool", "An object refers to a pool that does not exist.", "Add the pool to the proposal or correct the name."},
	{ConfigUnknownSecret, "config-unknown-secret", "A route refers to a secret that does not exist.", "Add the secret to the proposal or correct the name."},
	{ConfigShareOverflow, "config-share-overflow", "The shares of one pool sum to more than 100 percent.", "Lower the shares."},
	{ConfigBadPath, "config-bad-path", "A path prefix does not start with '/' or is not clean.", "Correct the prefix."},
	{ConfigBadHost, "config-bad-host", "A host is not a valid host name.", "Correct the host."},
	{ConfigBadKeyPair, "config-bad-key-pair", "A secret's certificate and key do not parse or do not match.", "Propose a matching PEM pair."},
	{ConfigBadLimit, "config-bad-limit", "A limit is zero or out of its range.", "Correct the limit."},
	{ConfigDuplicateRoute, "config-duplicate-route", "Two routes match exactly the same requests.", "Change one of the two."},
	{ConfigUnreadable, "config-unreadable", "The proposal is not valid YAML or has an unknown key.", "Correct the file; the message names the place."},
	{ConfigBadMethod, "config-bad-method", "A route names a method that is not an HTTP token.", "Correct the method."},
	{ConfigDuplicateObject, "config-duplicate-object", "The proposal has two objects of one kind and name.", "Keep one."},
	{ConfigNothingToRemove, "config-nothing-to-remove", "The proposal removes an object that does not exist.", "Remove the line."},
	{ConfigUnknownBackend, "config-unknown-backend", "The named back end is not a member of a pool.", "Check the name with 'show backends'."},
	{ConfigRetiredIsForever, "config-retired-is-forever", "A retired back end cannot take work again.", "Start the instance under a new name."},
	{ConfigForeignSecret, "config-foreign-secret", "A route refers to a secret of another group.", "Use a secret of the route's own group."},
	{OperatorUnauthenticated, "operator-unauthenticated", "The operator's token is missing or unknown.", "Give a valid token."},
	{OperatorForbidden, "operator-forbidden", "The object belongs to another group.", "Ask that group's operators."},
	{OperatorConflict, "operator-conflict", "An object was changed by another accepted proposal since this one was written.", "Look at the named revision and propose again."},
	{OperatorUnknownProposal, "operator-unknown-proposal", "There is no proposal of that id.", "Check the id with 'show proposals'."},
	{OperatorBadCommand, "operator-bad-command", "The command does not parse.", "See 'help'."},
	{OperatorStaleProposal, "operator-stale-proposal", "The proposal's base is older than the kept history.", "Propose again."},
	{OperatorWaitExpired, "operator-wait-expired", "The revision was not in force everywhere in the time given.", "See 'show versions' for the daemons behind."},
	{OperatorUnknownRevision, "operator-unknown-revision", "There is no such revision in the kept history.", "See 'show versions'."},
	{OperatorOutcomeUnknown, "operator-outcome-unknown", "The platform did not confirm the write; it may have taken effect.", "Repeat the same command; its operation id makes it take effect once."},
	{OperatorBusy, "operator-busy", "The daemon serves as many operator requests as it may.", "Repeat after the time given."},
	{OperatorOperationReused, "operator-operation-reused", "The operation id was used for a different proposal.", "Use a new operation id."},
	{OperatorRequestMalformed, "operator-request-malformed", "The operator request is not well-formed JSON or lacks a field.", "Use lapisctl of the same release."},
	{DistributionDigestMismatch, "distribution-digest-mismatch", "Received configuration does not have the digest it should.", "None; the daemon asks for the full state. Repeated: look for a faulty machine."},
	{DistributionNotClosed, "distribution-not-closed", "A route in a received version lacks its pool or secret.", "None; the version is refused and reported."},
	{DistributionBelowFloor, "distribution-below-floor", "A version older than one already applied was offered.", "None; it is ignored."},
	{DistributionNoFloor, "distribution-no-floor", "A starting daemon cannot learn which version is the oldest it may apply.", "Restore the source or the way to the readers."},
	{DistributionParentFull, "distribution-parent-full", "The parent has as many children as it may.", "None; the daemon goes to the named candidates."},
	{DistributionLoop, "distribution-loop", "Taking this parent would make a loop.", "None; another parent is chosen."},
	{DistributionDetached, "distribution-detached", "The parent has itself no way to a reader.", "None; another parent is chosen."},
	{DistributionWrongBase, "distribution-wrong-base", "A delta does not start from the version held.", "None; the daemon asks for the full state."},
	{DistributionParentLost, "distribution-parent-lost", "The parent stopped answering.", "None; another parent is chosen."},
	{DistributionBadBundle, "distribution-bad-bundle", "A bundle does not decode.", "None; the version is refused and reported."},
	{DistributionSeatLost, "distribution-seat-lost", "The reader's lease lapsed or was taken over.", "None; the daemon steps down."},
	{DistributionNoReader, "distribution-no-reader", "No reader of the zone is known.", "Check the machine list and the object API."},
	{DistributionTooDeep, "distribution-too-deep", "The tree would be too deep with this child and what is below it.", "None; the child lets go of its deeper children and asks again."},
	{CallNoRoute, "call-no-route", "No route matches the request. It did not run.", "Check the host and path."},
	{CallNoEndpoint, "call-no-endpoint", "The pool has no back end that may take the call. It did not run.", "Repeat after the time given."},
	{CallNotReady, "call-not-ready", "The daemon has no configuration yet that it may serve. It did not run.", "Repeat after the time given."},
	{CallNotRunDraining, "call-not-run-draining", "The back end is leaving. The call did not run.", "Repeat after the time given."},
	{CallNotRunOverloaded, "call-not-run-overloaded", "The queue is full or too slow. The call did not run.", "Repeat after the time given."},
	{CallNotRunExpired, "call-not-run-expired", "The time in which the call may start has passed. It did not run.", "Repeat if it is still wanted."},
	{CallNotRunUnreachable, "call-not-run-unreachable", "The call could not be handed over. It did not run.", "Repeat after the time given."},
	{CallUnknownOutcome, "call-unknown-outcome", "The call was handed over and its answer was lost. It may have run.", "Ask the service what happened before repeating."},
	{CallDeadline, "call-deadline", "The deadline passed after the call was handed over. It may have run.", "Ask the service what happened before repeating."},
	{CallCancelled, "call-cancelled", "The caller went away.", "None."},
	{CallTruncated, "call-truncated", "The answer broke off; what was received is not whole.", "Repeat if the call may be repeated."},
	{CallNotRunDuplicate, "call-not-run-duplicate", "The same attempt, or the caller's own idempotency key, was seen before. This copy did not run.", "None."},
	{CallBadRequest, "call-bad-request", "The request is not acceptable HTTP. It did not run.", "Correct the client."},
	{CallNotRunShed, "call-not-run-shed", "The back end refused the call before running it.", "Repeat after the time given."},
	{CallNotRunUnknownHere, "call-not-run-unknown-here", "The daemon does not serve that back end. The call did not run.", "None; another back end is chosen."},
	{CallNotRunStopping, "call-not-run-stopping", "The daemon is stopping. The call did not run.", "Repeat at once with another daemon."},
	{CallHeadTooLarge, "call-head-too-large", "The request's header is larger than the configuration allows. It did not run.", "Send less, or raise the limit."},
	{CallBodyTooLarge, "call-body-too-large", "The request's body is larger than the configuration allows. It did not run.", "Send less, or raise the limit."},
	{CallRequestTimeout, "call-request-timeout", "The request did not arrive whole in time. It did not run.", "Send it again."},
	{CallNotRunEvacuated, "call-not-run-evacuated", "The back end's zone is evacuated. The call did not run.", "Repeat after the time given; see docs/operations/evacuation.md."},
	{CallNotRunCold, "call-not-run-cold", "The back end has just started and takes no more calls for now. The call did not run.", "Repeat after the time given; see docs/operations/cold-starts.md."},
	{CallNotRunRegion, "call-not-run-region", "The back end is in a region where the call may not run. It did not run.", "Add instances in an allowed region, or allow more regions."},
	{CallInstanceCrashed, "call-instance-crashed", "The back end ended while it had the call. It may have run.", "Ask the service what happened before repeating; see docs/operations/quarantine.md."},
	{CallNotRunQuarantined, "call-not-run-quarantined", "Back ends ended under what the request asks for; it is held back. It did not run.", "Correct the request or the service; see docs/operations/quarantine.md."},
	{CallUnknownKey, "call-unknown-key", "The request presents no API key of an account. It did not run.", "Present a key that is in force; see docs/operations/accounts.md."},
	{CallRateLimited, "call-rate-limited", "The account has used up its rate limit. The call did not run.", "Repeat after the time given; see docs/operations/rate-limits.md."},
	{CallKeysUnconfirmed, "call-keys-unconfirmed", "The daemon could not confirm which API keys are in force. The call did not run.", "Repeat after the time given."},
	{CallLimitUnknown, "call-limit-unknown", "No daemon in reach knows whether the account is within its rate limit. The call did not run.", "Repeat after the time given; see docs/operations/rate-limits.md."},
	{CallNotRunLimited, "call-not-run-limited", "The instances that could serve the call state how many calls per second they accept, and have received that many. The call did not run.", "Repeat after the time given; see docs/operations/instance-limits.md."},
	{ProtocolBadFrame, "protocol-bad-frame", "Bytes received are not a frame of the protocol.", "None; the connection is closed."},
	{ProtocolTooLarge, "protocol-too-large", "A frame is larger than allowed.", "None; the connection is closed."},
	{ProtocolBadVersion, "protocol-bad-version", "The peer speaks another version of the protocol.", "Bring the releases closer together."},
	{ProtocolUnexpected, "protocol-unexpected", "A frame came that has no place at that point.", "None; the connection is closed."},
	{ProtocolUntrusted, "protocol-untrusted", "The peer has no valid certificate.", "Check the peer's certificate."},
	{ProtocolTimeout, "protocol-timeout", "The peer was silent for too long.", "None; the connection is closed."},
	{ProtocolFlowControl, "protocol-flow-control", "The peer sent more than it was allowed.", "None; the connection is closed."},
	{PlatformUnavailable, "platform-unavailable", "The platform does not answer, or answers with a failure.", "See docs/operations/outages.md."},
	{PlatformConflict, "platform-conflict", "A compare-and-swap write lost against another.", "None; the writer reads again."},
	{PlatformNotFound, "platform-not-found", "The object does not exist.", "None."},
	{PlatformCompacted, "platform-compacted", "The watch's start version is no longer kept.", "None; the reader lists again."},
	{PlatformTooManyWatch, "platform-too-many-watches", "The platform refuses another watch.", "Check for readers beyond the seats."},
	{PlatformNotModified, "platform-not-modified", "What was asked for has not changed.", "None."},
	{PlatformBadAnswer, "platform-bad-answer", "The platform's answer cannot be understood.", "Check the platform's release."},
}

var byCode = indexEntries()

func indexEntries() map[Code]Entry {
	index := make(map[Code]Entry, len(entries))
	for _, entry := range entries {
		index[entry.Code] = entry
	}
	return index
}

// Table returns all entries, sorted by code.
func Table() []Entry {
	table := append([]Entry(nil), entries...)
	sort.Slice(table, func(i, j int) bool { return table[i].Code < table[j].Code })
	return table
}

// Lookup returns the entry of a code. ok is false if the code is unknown.
func Lookup(code Code) (entry Entry, ok bool) {
	entry, ok = byCode[code]
	return entry, ok
}
