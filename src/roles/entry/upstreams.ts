/** Watches the agents of upstreams and corrects their last reported load by the requests that this entry sent and finished since. */
import { watchedUpstreams } from '../../core/subset.js'
import type { UpstreamView } from '../../core/routing.js'
import type { InstanceDirectory } from '../../nodes/instance-directory.js'
import { ControlClient } from '../../transports/control.js'
import type { AgentStatus } from '../../types/messages.js'
import type { ListedInstance } from '../../types/platform.js'
import type { EntrySettings } from '../../types/settings.js'

const reopenDelayMilliseconds = 300
/** Time after which a status no longer counts unless the agent sent another. */
const statusTimeoutMilliseconds = 2500

interface WatchedUpstream {
  readonly client: ControlClient
  listed: ListedInstance
  cancel: () => void
  status: AgentStatus | undefined
  /** Epoch milliseconds until which the status counts. */
  statusValidUntil: number
  /** Requests of this entry in progress there. */
  localRequests: number
  /** Requests that this entry sent since the last status, less those that ended; may be negative. */
  startedSinceStatus: number
}

/** The upstreams that this entry watches, each over one stream. */
export class Upstreams {
  private readonly watched = new Map<string, WatchedUpstream>()

  constructor (private readonly settings: EntrySettings, private readonly directory: InstanceDirectory, private readonly onStatus: (status: AgentStatus) => void) {
    directory.onChange(() => { this.reconcile() })
  }

  /** Upstreams with a recent status that are listed as live. */
  get views (): readonly UpstreamView[] {
    const now = Date.now()
    return [...this.watched.values()].flatMap(watched => watched.listed.state === 'live' ? viewOf(watched, now) ?? [] : [])
  }

  get statuses (): readonly AgentStatus[] {
    return this.views.map(({ status }) => status)
  }

  /** Upstream at a control address, also if it is not listed as live; undefined without a recent status. */
  find (controlAddress: string): UpstreamView | undefined {
    const watched = this.watched.get(controlAddress)
    return watched === undefined ? undefined : viewOf(watched, Date.now())
  }

  /** Counts a request sent to a control address; the returned function must be called once when it ends. */
  recordSent (controlAddress: string): () => void {
    const watched = this.watched.get(controlAddress)
    if (watched === undefined) return () => {}
    watched.localRequests += 1
    watched.startedSinceStatus += 1
    return () => {
      watched.localRequests -= 1
      watched.startedSinceStatus -= 1
    }
  }

  stop (): void {
    for (const address of [...this.watched.keys()]) this.remove(address)
  }

  private reconcile (): void {
    const listed = watchedUpstreams(this.directory.instances, this.settings, this.settings.upstreamWatchers)
    const byAddress = new Map(listed.map(upstream => [upstream.controlAddress, upstream]))
    for (const [address, watched] of [...this.watched]) {
      const current = byAddress.get(address)
      if (current === undefined || current.instance !== watched.listed.instance) this.remove(address)
      else watched.listed = current
    }
    for (const upstream of listed) if (!this.watched.has(upstream.controlAddress)) this.add(upstream)
  }

  private add (listed: ListedInstance): void {
    const client = new ControlClient(listed.controlAddress)
    const watched: WatchedUpstream = { client, listed, cancel: () => {}, status: undefined, statusValidUntil: 0, localRequests: 0, startedSinceStatus: 0 }
    this.watched.set(listed.controlAddress, watched)
    this.open(listed.controlAddress, watched)
  }

  private open (address: string, watched: WatchedUpstream): void {
    watched.cancel = watched.client.watch({ instance: this.settings.instance }, status => {
      watched.status = status
      watched.statusValidUntil = Date.now() + statusTimeoutMilliseconds
      watched.startedSinceStatus = 0
      this.onStatus(status)
    }, () => {
      watched.status = undefined
      setTimeout(() => { if (this.watched.get(address) === watched) this.open(address, watched) }, reopenDelayMilliseconds)
    })
  }

  private remove (address: string): void {
    const watched = this.watched.get(address)
    this.watched.delete(address)
    watched?.cancel()
    watched?.client.close()
  }
}

function viewOf ({ status, statusValidUntil, listed, localRequests, startedSinceStatus }: WatchedUpstream, now: number): UpstreamView | undefined {
  if (status === undefined || statusValidUntil <= now) return undefined
  const load = Math.max(localRequests, status.inFlight + status.waiting + startedSinceStatus)
  return { status: { ...status, address: listed.address }, region: listed.region, controlAddress: listed.controlAddress, load }
}
