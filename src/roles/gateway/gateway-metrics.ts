/** Metrics of an entry that are read when they are asked for. */
import type { CrashSuspects } from '../../core/dispatch/crash-suspects.js'
import type { Metrics } from '../../plugins/metrics.js'
import { monotonicNow } from '../../utils/clock.js'
import type { FleetRecords } from './fleet-records.js'
import type { FleetState } from './fleet-state.js'
import type { UpstreamLimits } from './upstream-limits.js'
import type { UpstreamPool } from './upstream-pool.js'

/** Parts of an entry whose state is shown. */
export interface MeasuredParts {
  /** Requests of callers in progress. */
  readonly active: number
  readonly livingEntries: number
  readonly state: FleetState
  readonly suspects: CrashSuspects
  readonly records: FleetRecords
  readonly pool: UpstreamPool
  readonly limits: UpstreamLimits
}

/** Text of all metrics, with the current state of `parts`. */
export function renderMetrics (metrics: Metrics, parts: MeasuredParts): string {
  const { pool, limits } = parts
  const now = monotonicNow()
  metrics.set('active_requests', {}, parts.active)
  metrics.set('living_entries', {}, parts.livingEntries)
  metrics.set('configuration_version', {}, parts.state.table?.configuration.version ?? 0)
  metrics.set('crashing_traits', {}, parts.suspects.refusedCount)
  metrics.set('log_connected', {}, parts.records.operators.state.isConnected ? 1 : 0)
  for (const view of pool.all()) {
    metrics.set('upstream_requests', { upstream: view.upstream.id }, view.inFlight)
    metrics.set('upstream_ejected', { upstream: view.upstream.id }, view.health.ejectedUntil > now ? 1 : 0)
    metrics.set('upstream_resting', { upstream: view.upstream.id }, pool.availability.isResting(view.upstream) ? 1 : 0)
    metrics.set('upstream_start_allowance', { upstream: view.upstream.id }, Math.floor(pool.paces.allowanceOf(view) ?? -1))
    metrics.set('upstream_limit', { upstream: view.upstream.id }, limits.perSecond(view.upstream) ?? -1)
    if (!pool.statesPace(view.upstream.service)) continue
    metrics.set('upstream_pace', { upstream: view.upstream.id }, pool.times.paceOf(view.upstream, now))
    metrics.set('upstream_expected_milliseconds', { upstream: view.upstream.id }, pool.times.typicalMilliseconds(view, now))
  }
  return metrics.render()
}
