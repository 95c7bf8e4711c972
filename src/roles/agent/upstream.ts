/** What the agent knows of its upstream: its incarnation, how much it bears, what runs on it, and which weights it serves. */
import { becomesCold } from '../../core/engine-orders.js'
import type { Service } from '../../types/configuration.js'
import type { SuspectCount } from '../../types/messages.js'
import type { EngineState } from '../../types/platform.js'
import { runInBackground } from '../../utils/background.js'
import { waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { Admission, type Place } from './admission.js'
import { UpstreamConnections, type ConnectionsOwner, type Identity, type VerifiedConnection } from './connections.js'
import { Crashes } from './crashes.js'

const log = logFor('admission')
const pollMilliseconds = 200

/** The upstream of one agent. */
export class Upstream implements ConnectionsOwner {
  readonly admission: Admission
  readonly connections: UpstreamConnections
  private readonly crashes = new Crashes()
  private incarnation: string | undefined
  private engine: EngineState | undefined
  private readonly stopping = new AbortController()

  /** `takeEngine` receives each state that the engine reports, undefined when it cannot be reached. */
  constructor (
    readonly url: string,
    path: '/state' | '/load',
    service: () => Service | undefined,
    private readonly takeEngine: (engine: EngineState | undefined) => void,
    private readonly onChange: () => void
  ) {
    this.admission = new Admission(service, onChange)
    this.connections = new UpstreamConnections(url, path, this)
  }

  /** Watches a plain service; an engine is watched by its orders. */
  startWatch (): void {
    runInBackground(this.watch(), log, 'watch the upstream')
  }

  stop (): void {
    this.stopping.abort()
    this.connections.close()
  }

  get suspects (): readonly SuspectCount[] {
    return this.crashes.suspects
  }

  /** Asks the upstream for its identity and compares what it runs with what has a place here. */
  async probe (): Promise<void> {
    const sure: ReadonlySet<Place> = this.admission.surePlaces()
    const identity = await this.connections.probe()
    if (identity !== undefined) this.admission.compare(identity.running, sure)
  }

  learn (identity: Identity, isNew: boolean): void {
    const coldLoad = identity.engine !== undefined && becomesCold(this.engine, identity.engine)
    this.engine = identity.engine
    if (isNew) this.replace(identity)
    else if (coldLoad) this.admission.restart(identity.incarnation, identity.running)
    this.takeEngine(identity.engine)
    if (isNew || coldLoad) this.onChange()
  }

  unreachable (isRefused: boolean): void {
    if (this.engine === undefined && this.incarnation === undefined) return
    this.engine = undefined
    this.takeEngine(undefined)
    this.admission.lose()
    if (isRefused) this.confirmCrash()
    this.onChange()
  }

  /** A connection broke while it carried a request: cold until the upstream says who it is. */
  connectionLost (connection: VerifiedConnection, fingerprint: string): void {
    this.crashes.noteLoss(connection.incarnation, fingerprint)
    this.admission.lose()
  }

  private replace (identity: Identity): void {
    this.confirmCrash()
    if (this.incarnation !== undefined) log.warn('the upstream has restarted and counts as cold')
    this.incarnation = identity.incarnation
    this.admission.restart(identity.incarnation, identity.running)
  }

  private confirmCrash (): void {
    if (this.incarnation === undefined) return
    this.crashes.confirm(this.incarnation, this.admission.runningOn(this.incarnation))
  }

  private async watch (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.probe()
      await waitUntil(Date.now() + pollMilliseconds, this.stopping.signal)
    }
  }
}
