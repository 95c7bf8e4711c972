/** A request under way, and the parts that requests share. */
import type { IncomingMessage } from 'node:http'
import type { CrashSuspects } from '../../core/dispatch/crash-suspects.js'
import type { FirstEventWaits } from '../../core/dispatch/first-event-waits.js'
import type { SharedRetryBudget } from '../../core/dispatch/shared-retry-budget.js'
import type { Metrics } from '../../plugins/metrics.js'
import type { Organisation, Route, Service } from '../../types/fleet.js'
import type { CallerRequest, RequestCodec } from '../../types/ports.js'
import type { FleetState } from './fleet-state.js'
import type { UpstreamConnections } from './upstream-connections.js'
import type { RequestQueue } from './request-queue.js'
import type { UpstreamPool } from './upstream-pool.js'

/** Parts that requests share. */
export interface ServingContext {
  readonly requests: RequestCodec
  readonly state: FleetState
  readonly pool: UpstreamPool
  readonly connections: UpstreamConnections
  readonly budget: SharedRetryBudget
  readonly suspects: CrashSuspects
  readonly metrics: Metrics
  /** Waits of a service's callers. */
  firstEventWaitsOf (service: string): FirstEventWaits
  /** The line of a service's requests that wait for a place. */
  queueOf (service: string): RequestQueue
  /** Numbers in [0, 1). */
  random (): number
  /** Living entries, this one among them. */
  entries (): readonly string[]
  isStopping (): boolean
}

/** A request with what was found out about it. */
export interface RoutedRequest {
  readonly caller: CallerRequest
  readonly incoming: IncomingMessage
  readonly route: Route
  readonly organisation: Organisation | undefined
  readonly service: Service
  readonly body: Buffer
  readonly fingerprint: string
  readonly arrivedAt: number
  /** Steady milliseconds by which the caller must have its final answer. */
  readonly deadline: number
  /** Steady milliseconds until which the caller waits. */
  readonly callerDeadline: number
  readonly isLate: boolean
}
