/** Prefers engines that send bytes over those that have requests of this entry and send nothing. */
import { UpstreamActivity } from '../../core/dispatch/upstream-activity.js'
import { logFor } from '../../utils/log.js'
import type { UpstreamView } from './upstream-view.js'

const log = logFor('instances')

/** Activity of all upstreams of one entry; times are milliseconds of the monotonic clock. */
export class Responsiveness {
  private readonly activity = new UpstreamActivity()
  /** Ids of upstreams that were unresponsive at the last check, so that only changes are logged. */
  private readonly unresponsive = new Set<string>()

  /** `recovered` is called for an upstream that is no longer unresponsive. */
  constructor (private readonly recovered: (view: UpstreamView) => void = () => {}) {}

  /** Records a request that is sent to an upstream. */
  recordSent ({ upstream, inFlight }: UpstreamView, now: number): void {
    this.activity.recordSent(upstream.id, inFlight, now)
  }

  /** Records that bytes of an answer were received. */
  recordReceived (id: string, now: number): void {
    this.activity.recordReceived(id, now)
  }

  /** Upstreams that are not unresponsive, or all where every one is. */
  prefer (views: readonly UpstreamView[], now: number): readonly UpstreamView[] {
    const responsive = views.filter(view => !this.isUnresponsive(view, now))
    return responsive.length > 0 ? responsive : views
  }

  /** Deletes the state of an upstream that was removed. */
  forget (id: string): void {
    this.activity.forget(id)
    this.unresponsive.delete(id)
  }

  /** Whether an engine has sent nothing for too long while it has requests of this entry; logs each change. */
  private isUnresponsive (view: UpstreamView, now: number): boolean {
    const { upstream, inFlight } = view
    const isUnresponsive = upstream.isEngine && this.activity.isUnresponsive(upstream.id, inFlight, now)
    if (isUnresponsive === this.unresponsive.has(upstream.id)) return isUnresponsive
    if (isUnresponsive) this.unresponsive.add(upstream.id)
    else {
      this.unresponsive.delete(upstream.id)
      this.recovered(view)
    }
    log.warn(isUnresponsive ? 'upstream unresponsive: nothing received while requests are in flight; other upstreams are preferred' : 'upstream no longer unresponsive', { upstream: upstream.id, inFlight })
    return isUnresponsive
  }
}
