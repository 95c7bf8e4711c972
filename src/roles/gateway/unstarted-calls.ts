/** Calls to upstreams with weights whose streams have not begun; withdraws those that could begin on weights that are too old by then. */
import { monotonicNow } from '../../utils/clock.js'
import type { UpstreamView } from './upstream-view.js'

/** Interval of the checks while such calls exist, milliseconds: short against the lead of a withdrawal. */
const checkMilliseconds = 50

/** A call whose stream has not begun. */
interface UnstartedCall {
  readonly model: string
  readonly upstreamId: string
  /** Weights version that the upstream served when the request was sent. */
  readonly version: number
  readonly call: Withdrawable
}

/** A call that can be withdrawn from its upstream. */
export interface Withdrawable {
  withdraw (): void
}

/** What decides on a withdrawal. */
export interface WithdrawalContext {
  /** When requests that have not begun on a version are withdrawn, milliseconds of the monotonic clock; undefined for never. */
  withdrawalAt (model: string, version: number): number | undefined
  /** Weights version that the agent of an upstream reports; undefined without a report. A record may name weights that the upstream does not have. */
  versionAt (upstreamId: string): number | undefined
}

/** The unstarted calls of one entry. Checked periodically: versions are named, and their times corrected, while calls wait. */
export class UnstartedCalls {
  private readonly calls = new Set<UnstartedCall>()
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly context: WithdrawalContext) {}

  /** Watches a call to an upstream with weights; returns what ends that, once its stream has begun or the call has ended. */
  add (model: string | undefined, { upstream, weights }: Pick<UpstreamView, 'upstream' | 'weights'>, call: Withdrawable): () => void {
    if (model === undefined || weights === undefined) return () => {}
    const unstarted = { model, upstreamId: upstream.id, version: weights.version, call }
    this.calls.add(unstarted)
    this.timer ??= setInterval(() => { this.check() }, checkMilliseconds)
    return () => { this.remove(unstarted) }
  }

  private check (): void {
    const now = monotonicNow()
    for (const unstarted of [...this.calls]) if (this.isDue(unstarted, now)) unstarted.call.withdraw()
  }

  /** An upstream that has swapped meanwhile begins what it holds on its new weights. */
  private isDue ({ model, upstreamId, version }: UnstartedCall, now: number): boolean {
    const served = Math.max(version, this.context.versionAt(upstreamId) ?? version)
    return now >= (this.context.withdrawalAt(model, served) ?? Infinity)
  }

  private remove (unstarted: UnstartedCall): void {
    this.calls.delete(unstarted)
    if (this.calls.size > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }
}
