package forwarder

// runDueWork does the work that depends on time alone.
func (f *Forwarder) runDueWork() {
	if f.servers.Expire(f.now) {
		f.forgetRemoved()
	}
	if f.now.Since(f.startedAt) >= bucketWarmup {
		f.limiter.MarkSynced()
	}
	f.updateInstanceCounts()
	f.recordPendingCrashes()
	f.refuseConvicted()
	f.endSuspicions()
	f.refuseFailedTunnels()
	f.addNamedWeights()
	f.withdrawLate()
	f.checkFlights()
	f.sendWaiting()
	if f.now >= f.nextServerScan {
		f.nextServerScan = f.now.Add(serverScanInterval)
		f.checkDownServers()
		f.checkBlockedPaths()
	}
	f.advanceExposures()
	f.advanceRollout()
	f.advanceAssignments()
	f.moveStreams()
	f.readDueCaches()
	f.advanceReplicas()
	f.broadcast()
}
