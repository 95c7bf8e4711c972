/** State of the agent's upstream: its incarnation, concurrency limit, running requests, connections and engine state. */
import { becomesCold } from '../../core/engine-orders.js'
import type { Service } from '../../types/configuration.js'
import type { SuspectCount } from '../../types/messages.js'
import type { EngineState } from '../../types/platform.js'
import { runInBackground } from '../../utils/background.js'
import { waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { Admission, type AdmittedRequest } from './admission.js'
import { UpstreamConnections, type ConnectionsObserver, type UpstreamIdentity, type VerifiedConnection } from './connections.js'
import { CrashTracker } from './crash-tracker.js'

const log = logFor('admission')
const pollIntervalMilliseconds = 200

/** Monitors the upstream of one agent. */
export class UpstreamMonitor implements ConnectionsObserver {
  readonly admission: Admission
  readonly connections: UpstreamConnections
  private readonly crashes = new CrashTracker()
  private incarnation: string | undefined
  private engine: EngineState | undefined
  private readonly stopping = new AbortController()

  /** `onEngineState` receives each state that the engine reports, and undefined when it cannot be reached. */
  constructor (
    readonly url: string,
    path: '/state' | '/load',
    service: () => Service | undefined,
    private readonly onEngineState: (engine: EngineState | undefined) => void,
    private readonly onChange: () => void
  ) {
    this.admission = new Admission(service, onChange)
    this.connections = new UpstreamConnections(url, path, this)
  }

  /** Starts to poll a plain service; an engine is polled by its orders. */
  startWatch (): void {
    runInBackground(this.watch(), log, 'poll the upstream')
  }

  stop (): void {
    this.stopping.abort()
    this.connections.close()
  }

  get suspects (): readonly SuspectCount[] {
    return this.crashes.suspects
  }

  /** Requests the upstream's identity and compares its count of running requests with those tracked here. */
  async probe (): Promise<void> {
    const certain: ReadonlySet<AdmittedRequest> = this.admission.certainlyRunning()
    const identity = await this.connections.probe()
    if (identity !== undefined) this.admission.reconcile(identity.running, certain)
  }

  identityReceived (identity: UpstreamIdentity, isNew: boolean): void {
    const hasColdWeights = identity.engine !== undefined && becomesCold(this.engine, identity.engine)
    this.engine = identity.engine
    if (isNew) this.replace(identity)
    else if (hasColdWeights) this.admission.resetToCold(identity.incarnation, identity.running)
    this.onEngineState(identity.engine)
    if (isNew || hasColdWeights) this.onChange()
  }

  upstreamUnreachable (isRefused: boolean): void {
    if (this.engine === undefined && this.incarnation === undefined) return
    this.engine = undefined
    this.onEngineState(undefined)
    this.admission.recordLoss()
    if (isRefused) this.confirmCrash()
    this.onChange()
  }

  /** Records that a connection broke while it carried a request; the upstream counts as cold. */
  connectionLost (connection: VerifiedConnection, fingerprint: string): void {
    this.crashes.recordLoss(connection.incarnation, fingerprint)
    this.admission.recordLoss()
  }

  private replace (identity: UpstreamIdentity): void {
    this.confirmCrash()
    if (this.incarnation !== undefined) log.warn('the upstream has restarted; its concurrency limit is reset to the cold bound')
    this.incarnation = identity.incarnation
    this.admission.resetToCold(identity.incarnation, identity.running)
  }

  private confirmCrash (): void {
    if (this.incarnation === undefined) return
    this.crashes.confirmCrash(this.incarnation, this.admission.fingerprintsOn(this.incarnation))
  }

  private async watch (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.probe()
      await waitUntil(Date.now() + pollIntervalMilliseconds, this.stopping.signal)
    }
  }
}
