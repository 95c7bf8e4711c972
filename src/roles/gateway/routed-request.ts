/** A request with its route, and the components that all requests share. */
import type { IncomingMessage } from 'node:http'
import type { CrashSuspects } from '../../core/dispatch/crash-suspects.js'
import type { EarlyRepeats } from '../../core/dispatch/early-repeats.js'
import type { ExpectedWaits } from '../../core/dispatch/expected-wait.js'
import type { FirstEventWaits } from '../../core/dispatch/first-event-waits.js'
import type { ServiceProfile } from '../../core/dispatch/service-profile.js'
import type { OrderedRequest } from '../../core/dispatch/service-order.js'
import type { SharedRetryBudget } from '../../core/dispatch/shared-retry-budget.js'
import type { RequestWork } from '../../core/dispatch/expected-time.js'
import type { StopTimes } from '../../core/dispatch/stop-admission.js'
import type { UnprovedRuns } from '../../core/dispatch/unproved-runs.js'
import type { Metrics } from '../../plugins/metrics.js'
import type { Organisation, Route, Service } from '../../types/fleet.js'
import type { CallerRequest, RequestCodec } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import type { FleetState } from './fleet-state.js'
import type { UpstreamConnections } from './upstream-connections.js'
import type { RequestQueue } from './request-queue.js'
import type { UnstartedCalls } from './unstarted-calls.js'
import type { UpstreamPool } from './upstream-pool.js'

/** Components that all requests of an entry share. */
export interface ServingContext {
  readonly requests: RequestCodec
  readonly state: FleetState
  readonly pool: UpstreamPool
  readonly connections: UpstreamConnections
  readonly budget: SharedRetryBudget
  readonly suspects: CrashSuspects
  readonly unprovedRuns: UnprovedRuns
  readonly unstartedCalls: UnstartedCalls
  readonly metrics: Metrics
  /** Times to the first event lately at a service. */
  firstEventWaitsOf (service: string): FirstEventWaits
  /** Expected waits for a service. */
  expectedWaitsOf (service: string): ExpectedWaits
  readonly earlyRepeats: EarlyRepeats
  /** Which dispatch decisions a service asks for now. */
  profileOfService (service: string): ServiceProfile
  /** Queue of a service's requests that wait for a free slot. */
  queueOf (service: string): RequestQueue
  /** Random number in [0, 1). */
  random (): number
  /** Number of entries among which sums over all of them are divided, see `Membership.knownEntries`. */
  entryCount (): number
  /** Times of the entry's planned stop; undefined before one has begun. */
  stopTimes (): StopTimes | undefined
  /** Whether other entries have read operators' records that this one lacks. */
  lacksRecords (): boolean
}

/** A caller's request with its route, service and deadlines; times are milliseconds of the monotonic clock. */
export interface RoutedRequest {
  readonly caller: CallerRequest
  readonly incoming: IncomingMessage
  readonly route: Route
  readonly organisation: Organisation | undefined
  readonly service: Service
  /** Model that serves it; undefined for a service without weights. */
  readonly model: string | undefined
  readonly body: Buffer
  /** What identifies crashing requests: its fingerprint, equal when it is sent again, and the parts of its prompt that others share. */
  readonly traits: readonly string[]
  readonly arrivedAt: number
  /** Deadline of the final answer: the caller's timeout or the route's, whichever ends first. */
  readonly deadline: number
  /** When the caller's own timeout ends. */
  readonly callerDeadline: number
  /** Whether it is past its latency goal, as a caller's retry after a refusal is. */
  readonly isLate: boolean
  /** What orders it among others; undefined in a service that is not ranked. */
  readonly order: OrderedRequest | undefined
}

/** Work that a request asks of its upstream; what its caller does not state is taken to be typical. `mayWait`: nothing has run yet, so that it may wait for an upstream that serves it in time. */
export function workOf ({ caller, service, route, isLate, arrivedAt }: RoutedRequest, mayWait = false): RequestWork {
  const { promptTokens, maximumAnswerTokens } = caller
  const remaining = arrivedAt + route.latencyGoalMilliseconds - monotonicNow()
  return {
    remainingMilliseconds: mayWait && !isLate && remaining > 0 ? remaining : undefined,
    promptTokens: promptTokens > 0 ? promptTokens : service.engine?.typicalPromptTokens ?? 0,
    answerTokens: maximumAnswerTokens > 0 ? maximumAnswerTokens : service.engine?.typicalAnswerTokens ?? 0,
    goalMilliseconds: route.latencyGoalMilliseconds
  }
}
