package sidecar

import "pollenscale/internal/mutant"

// Mechanisms that mutation tests switch off one at a time.
var (
	retryOnlyIfNotRun        = mutant.New("sidecar/repeat-only-if-not-run")
	checkTargetService       = mutant.New("sidecar/service-at-target")
	refuseWhenDrained        = mutant.New("sidecar/refuse-when-drained")
	honourLeaving            = mutant.New("sidecar/leaving-in-responses")
	acknowledgeRecorded      = mutant.New("sidecar/acknowledge-recorded")
	restoreDrain             = mutant.New("sidecar/restore-drain")
	expireWithEra            = mutant.New("sidecar/expire-with-era")
	fullDuplex               = mutant.New("sidecar/full-duplex")
	resumeSlots              = mutant.New("sidecar/resume-slots")
	endUnread                = mutant.New("sidecar/end-unread")
	limitLongBodies          = mutant.New("sidecar/limit-long-bodies")
	refuseLateAttempts       = mutant.New("sidecar/refuse-late-attempts")
	closeGracefully          = mutant.New("sidecar/close-gracefully")
	excludeEvacuated         = mutant.New("sidecar/evacuation-at-entry")
	refuseEvacuated          = mutant.New("sidecar/evacuation-at-target")
	awaitEvacuations         = mutant.New("sidecar/evacuation-known")
	exceedEarlierIncarnation = mutant.New("sidecar/outlive-earlier-process")
	rejectUnproved           = mutant.New("sidecar/reject-unproved")
)
