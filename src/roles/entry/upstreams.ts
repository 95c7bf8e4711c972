/** Watches the agents of the listed upstreams and keeps their last status. */
import type { InstanceDirectory } from '../../nodes/instance-directory.js'
import { ControlClient } from '../../transports/control.js'
import type { AgentStatus } from '../../types/messages.js'
import type { ListedInstance } from '../../types/platform.js'

const retryMilliseconds = 300
const silenceMilliseconds = 2500

interface Watched {
  readonly client: ControlClient
  cancel: () => void
  status: AgentStatus | undefined
  /** Epoch milliseconds after which the status no longer counts. */
  freshUntil: number
}

/** One watch for each listed upstream. */
export class Upstreams {
  private readonly watched = new Map<string, Watched>()

  constructor (private readonly instance: string, private readonly directory: InstanceDirectory) {
    directory.onChange(() => { this.reconcile() })
  }

  /** Fresh statuses of upstreams that the list calls live. */
  get statuses (): readonly AgentStatus[] {
    const now = Date.now()
    const live = new Set(this.directory.instances.filter(listed => listed.state === 'live').map(listed => listed.instance))
    return [...this.watched.values()].flatMap(({ status, freshUntil }) => status !== undefined && freshUntil > now && live.has(status.instance) ? [status] : [])
  }

  stop (): void {
    for (const address of [...this.watched.keys()]) this.drop(address)
  }

  private reconcile (): void {
    const listed = this.directory.instances.filter(({ role }) => role === 'upstream')
    const addresses = new Set(listed.map(({ controlAddress }) => controlAddress))
    for (const address of [...this.watched.keys()]) if (!addresses.has(address)) this.drop(address)
    for (const upstream of listed) if (!this.watched.has(upstream.controlAddress)) this.add(upstream)
  }

  private add (upstream: ListedInstance): void {
    const client = new ControlClient(upstream.controlAddress)
    const watched: Watched = { client, cancel: () => {}, status: undefined, freshUntil: 0 }
    this.watched.set(upstream.controlAddress, watched)
    this.open(upstream.controlAddress, watched)
  }

  private open (address: string, watched: Watched): void {
    watched.cancel = watched.client.watch({ instance: this.instance }, status => {
      watched.status = status
      watched.freshUntil = Date.now() + silenceMilliseconds
    }, () => {
      watched.status = undefined
      setTimeout(() => { if (this.watched.get(address) === watched) this.open(address, watched) }, retryMilliseconds)
    })
  }

  private drop (address: string): void {
    const watched = this.watched.get(address)
    this.watched.delete(address)
    watched?.cancel()
    watched?.client.close()
  }
}
