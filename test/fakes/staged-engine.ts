/** An engine in memory that loads what is staged when it accepts an order, and judges what it took. */
import type { EngineReport, VouchedLoad } from '../../src/types/fleet.js'
import { EnginePort, OriginPort, type OrderResult } from '../../src/types/ports.js'
import type { Subscription } from '../../src/types/node-messages.js'
import { monotonicNow, sleepUntil } from '../../src/utils/clock.js'
import { digestBytes } from '../../src/utils/digest.js'
import { model, service } from './weights-node.js'

/** Time for which a chunk may be wrong when it is taken, milliseconds. */
const toleranceMilliseconds = 3000
/** Time after which a call to the engine fails without an answer, milliseconds. */
const callTimeoutMilliseconds = 1000

/** The chunk at a position of a version. */
export function chunkOf (version: number, position: number): Buffer {
  return Buffer.from(`version ${version} chunk ${position}`)
}

/** Serves every version. */
export class EveryVersionOrigin extends OriginPort {
  constructor (private readonly chunkCount: number) {
    super()
  }

  async digests (_address: string, _model: string, version: number): Promise<readonly string[]> {
    return Array.from({ length: this.chunkCount }, (_, position) => digestBytes(chunkOf(version, position)))
  }

  async chunk (_address: string, _model: string, version: number, position: number): Promise<Buffer> {
    return chunkOf(version, position)
  }
}

/** An entry's subscription that names a version. */
export function subscriptionTo (version: number, chunkCount: number, vouched?: VouchedLoad): Subscription {
  return {
    kind: 'subscription',
    dataCentre: 'zone-a',
    service,
    weights: [{ model, version, ageMilliseconds: 0 }],
    agents: [],
    rollout: { configurationVersion: 7, ageMilliseconds: 0, models: [model], chunkCount, chunkBytes: 64, origin: { address: '127.0.0.1:1', bytesPerSecond: 1_000_000 }, isResumable: false },
    vouched
  }
}

/** A load that was accepted, and the positions that had been wrong for longer than allowed when it was. */
export interface AcceptedLoad {
  readonly version: number
  readonly wrong: readonly number[]
}

/** Behaviour of the engine. */
export interface StagedEngineFaults {
  /** Time until a read of a staged chunk is answered, milliseconds. */
  readonly readMilliseconds: number
  /** Time until an order is accepted, milliseconds, by the number of the order from 0; later ones are accepted at once. */
  readonly acceptMilliseconds: readonly number[]
  /** Time of a load, milliseconds. */
  readonly loadMilliseconds: number
  /** Called when a chunk is read, before the answer. */
  readonly onRead: (position: number) => void
  /** Called when an order arrives, before it is accepted. */
  readonly onOrder: (version: number) => void
  /** Called when an order was accepted, before the answer. */
  readonly onAccepted: (version: number) => void
  /** Called when a chunk is to be staged. */
  readonly onStage: (position: number) => void
  /** Version that is served at first; 0 for none. */
  readonly served: number
  /** Time from the moment for which a report is true until it is answered, milliseconds. */
  readonly reportMilliseconds: number
  /** When a chunk is staged whose call fails without an answer; undefined if it is staged and answered at once. */
  readonly lateStage: (position: number, chunk: Buffer) => Promise<void> | undefined
}

const noFaults: StagedEngineFaults = { readMilliseconds: 0, acceptMilliseconds: [], loadMilliseconds: 200, onRead: () => {}, onOrder: () => {}, onAccepted: () => {}, onStage: () => {}, served: 1, reportMilliseconds: 0, lateStage: () => undefined }

/** An engine that serves version 1, which is also staged. */
export class StagedEngine extends EnginePort {
  /** Loads in the order in which they were accepted. */
  readonly accepted: AcceptedLoad[] = []
  /** Orders that arrived. */
  received = 0
  private readonly faults: StagedEngineFaults
  private readonly chunks = new Map<number, Buffer>()
  /** Since when a position has held bytes that turned bad, milliseconds of the monotonic clock. */
  private readonly corruptSince = new Map<number, number>()
  private orders = 0
  /** Version that is served; 0 for none. */
  private served: number
  private loading: { readonly version: number, readonly until: number } | undefined

  constructor (private readonly chunkCount: number, faults: Partial<StagedEngineFaults> = {}) {
    super()
    this.faults = { ...noFaults, ...faults }
    this.served = this.faults.served
    this.holdStaged(1)
  }

  /** Whether the engine serves a load with wrong chunks. */
  get isServingWrong (): boolean {
    const last = this.accepted.at(-1)
    return last !== undefined && last.wrong.length > 0 && this.loadedVersion === last.version
  }

  /** Whether all staged chunks are those of a version. */
  isStaged (version: number): boolean {
    return [...this.chunks].every(([position, chunk]) => chunk.equals(chunkOf(version, position)))
  }

  /** Another process has staged a whole version. */
  holdStaged (version: number): void {
    for (let position = 0; position < this.chunkCount; position += 1) this.chunks.set(position, chunkOf(version, position))
  }

  /** Nothing is staged, as after a loss of power. */
  loseStaged (): void {
    this.chunks.clear()
  }

  /** The staged chunk at a position turns bad, now or since an earlier time in milliseconds of the monotonic clock. */
  corrupt (position: number, since = monotonicNow()): void {
    this.chunks.set(position, Buffer.from('corrupt'))
    this.corruptSince.set(position, since)
  }

  async report (): Promise<EngineReport> {
    const served = this.loadedVersion
    const report = { startedAt: 1, orders: this.orders, isSwapping: this.loading !== undefined, running: 0, waiting: 0, weights: served === 0 ? undefined : { model, version: served } }
    if (this.faults.reportMilliseconds > 0) await sleepUntil(monotonicNow() + this.faults.reportMilliseconds)
    return report
  }

  async staged (): Promise<readonly number[]> { return [...this.chunks.keys()] }

  async stagedChunk (_model: string, position: number): Promise<Buffer | undefined> {
    const chunk = this.chunks.get(position)
    this.faults.onRead(position)
    await sleepUntil(monotonicNow() + this.faults.readMilliseconds)
    return chunk
  }

  async stage (_model: string, position: number, chunk: Buffer): Promise<void> {
    this.faults.onStage(position)
    const put = (): void => {
      this.chunks.set(position, chunk)
      this.corruptSince.delete(position)
    }
    const late = this.faults.lateStage(position, chunk)
    if (late === undefined) {
      put()
      return
    }
    const failed = sleepUntil(monotonicNow() + callTimeoutMilliseconds).then(() => { throw new Error('no answer') })
    await Promise.all([failed, late.then(put)])
  }

  async load (_model: string, version: number, ordersBefore: number): Promise<OrderResult> {
    const acceptMilliseconds = this.faults.acceptMilliseconds[this.received] ?? 0
    this.received += 1
    this.faults.onOrder(version)
    const accepted = acceptMilliseconds === 0 ? Promise.resolve(this.accept(version, ordersBefore)) : sleepUntil(monotonicNow() + acceptMilliseconds).then(() => this.accept(version, ordersBefore))
    if (acceptMilliseconds < callTimeoutMilliseconds) return await accepted
    await sleepUntil(monotonicNow() + callTimeoutMilliseconds)
    throw new Error('no answer')
  }

  override async unload (_model: string, version: number, ordersBefore: number): Promise<OrderResult> {
    if (this.loading !== undefined || ordersBefore !== this.orders || this.loadedVersion !== version) return 'conflict'
    this.orders += 1
    this.served = 0
    return 'begun'
  }

  private get loadedVersion (): number {
    if (this.loading !== undefined && monotonicNow() >= this.loading.until) {
      this.served = this.loading.version
      this.loading = undefined
    }
    return this.served
  }

  /** Accepts an order that another process sent, if it is the next one. */
  acceptOfOther (version: number, ordersBefore: number): void {
    this.accept(version, ordersBefore)
  }

  private accept (version: number, ordersBefore: number): OrderResult {
    const served = this.loadedVersion
    if (this.loading !== undefined || ordersBefore !== this.orders) return 'conflict'
    if (served === version) return 'in-effect'
    this.orders += 1
    this.accepted.push({ version, wrong: this.wrongPositions(version) })
    this.loading = { version, until: monotonicNow() + this.faults.loadMilliseconds }
    this.faults.onAccepted(version)
    return 'begun'
  }

  private wrongPositions (version: number): readonly number[] {
    const now = monotonicNow()
    return Array.from({ length: this.chunkCount }, (_, position) => position).filter(position => {
      const corruptSince = this.corruptSince.get(position)
      if (corruptSince !== undefined) return now - corruptSince > toleranceMilliseconds
      return this.chunks.get(position)?.equals(chunkOf(version, position)) !== true
    })
  }
}
