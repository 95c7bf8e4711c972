/** Interface of the entry that its request handlers use. */
import type { FirstByteTracker } from '../../core/first-byte-tracker.js'
import type { Quarantine } from '../../core/quarantine.js'
import type { RetryBudget } from '../../core/retry.js'
import type { NodeLocation, RoutingPolicy } from '../../core/routing.js'
import type { Metrics } from '../../plugins/metrics.js'
import type { OutcomeReply, OutcomeRequest } from '../../transports/control.js'
import type { FoldState } from '../../types/configuration.js'
import type { EntrySettings } from '../../types/settings.js'
import type { RequestJournal } from './journal.js'
import type { Upstreams } from './upstreams.js'

/** State and shared services of the entry for handling requests. */
export interface AnswerHost {
  readonly settings: EntrySettings
  readonly state: FoldState
  /** Whether the configuration in force is confirmed well enough for new work. */
  readonly mayTakeWork: boolean
  readonly place: NodeLocation
  readonly upstreams: Upstreams
  readonly policy: RoutingPolicy
  readonly budget: RetryBudget
  readonly quarantine: Quarantine
  readonly firstByteTracker: FirstByteTracker
  readonly journal: RequestJournal
  readonly metrics: Metrics
  /**
   * Asks an agent for the outcome of a request over a separate connection; undefined when it does not answer. `deadline` in epoch
   * milliseconds; a query whose timeout ran late is repeated, as the entry itself was delayed and says nothing about the agent.
   */
  queryOutcome (controlAddress: string, question: OutcomeRequest, deadline: number): Promise<OutcomeReply | undefined>
}
