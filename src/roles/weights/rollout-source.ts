/** What an agent knows of the rollout: from the subscriptions of entries, or from the log while no entry subscribes. */
import { areSameFacts, newerFacts, rolloutFactsOf } from '../../core/weights/rollout-facts.js'
import type { LogPosition } from '../../core/log-position.js'
import { nextLogReadAt } from '../../core/weights/log-fallback.js'
import type { Metrics } from '../../plugins/metrics.js'
import type { RolloutFacts, Upstream } from '../../types/fleet.js'
import type { Subscription } from '../../types/node-messages.js'
import type { KeyedRecord, ReadRecords, RecordCodec, RecordLog, StreamName } from '../../types/ports.js'
import { sleepUntil, monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { NamedVersions } from './named-versions.js'
import type { PeerTable } from './peer-table.js'

const log = logFor('agent')

/** Source of what was read from the log, in log lines. */
const logSource = 'log'
/** Time without a subscription after which an agent introduces itself, milliseconds: each entry subscribes once a second. */
const silenceMilliseconds = 1500
/** Time between two introductions, milliseconds. */
const introductionIntervalMilliseconds = 500

/** Operators' records that one read of the log returns at most. */
const maximumRecords = 1024

/** Dependencies of a source. */
export interface RolloutContext {
  readonly service: string
  readonly records: RecordLog
  readonly codec: RecordCodec
  readonly named: NamedVersions
  readonly peers: PeerTable
  readonly metrics: Metrics
  /** Sends an introduction to the entries that the settings name. */
  introduce (): void
}

/** Facts and named versions of one agent. The log is read in `run` only. */
export class RolloutSource {
  private known: RolloutFacts | undefined
  /** When this agent introduces itself unless an entry subscribes before, milliseconds of the monotonic clock. */
  private introduceAt = 0
  /** When the log is read unless an entry subscribes before, milliseconds of the monotonic clock. */
  private logReadAt = nextLogReadAt(monotonicNow(), 0, Math.random())
  /** Reads of the log since the last subscription. */
  private reads = 0
  /** Position of the first operators' record that was not read; undefined when the last read of all of them failed. */
  private operatorsNext: LogPosition | undefined
  /** Whether this process knew of the rollout before: versions that it learns of later were named since then. */
  private hasLearned = false
  private isStopped = false

  constructor (private readonly context: RolloutContext) {}

  /** Facts of the highest configuration version; undefined before the first. */
  get facts (): RolloutFacts | undefined {
    return this.known
  }

  /** Takes what the entry at `ip` tells. */
  receive (subscription: Subscription, ip: string): void {
    const { service, named, peers, metrics } = this.context
    metrics.count('subscriptions_total')
    // The IP may have belonged to an engine of another service, whose record is still listed.
    if (subscription.service !== service) return
    for (const { model, version, ageMilliseconds } of subscription.weights) named.merge(model, { version, ageMilliseconds }, ip)
    if (subscription.rollout !== undefined) this.putFacts(subscription.rollout, subscription.rollout.ageMilliseconds, ip)
    peers.addPeers(subscription.agents)
    // An entry without a configuration cannot replace the log for an agent that has none either.
    if (this.known !== undefined) this.recordSubscription()
  }

  /** Whenever no entry has subscribed for some time, introduces this agent to entries, then reads the log as well, until `stop`. */
  async run (): Promise<void> {
    while (!this.isStopped) {
      if (monotonicNow() >= this.introduceAt) {
        this.introduceAt = monotonicNow() + introductionIntervalMilliseconds
        this.context.introduce()
      }
      await sleepUntil(Math.min(this.introduceAt, this.logReadAt))
      if (this.isStopped || monotonicNow() < this.logReadAt) continue
      const reads = this.reads + 1
      this.reads = reads
      await this.readLog()
      const hasSubscription = this.reads !== reads
      if (!hasSubscription) this.logReadAt = nextLogReadAt(monotonicNow(), reads, Math.random())
    }
  }

  stop (): void {
    this.isStopped = true
  }

  private recordSubscription (): void {
    if (this.reads > 0) log.info('entries subscribe again: the log is not read', { reads: this.reads })
    this.reads = 0
    this.hasLearned = true
    this.introduceAt = monotonicNow() + silenceMilliseconds
    this.logReadAt = nextLogReadAt(monotonicNow(), 0, Math.random())
  }

  private putFacts (received: RolloutFacts, ageMilliseconds: number, source: string): void {
    const newer = newerFacts(this.known, received)
    if (newer === this.known) return
    if (!areSameFacts(this.known, newer)) log.info('rollout facts changed', { source, configuration: newer.configurationVersion, ageMilliseconds: Math.round(ageMilliseconds), models: newer.models.join(), chunks: newer.chunkCount, origin: newer.origin?.address ?? '', isResumable: newer.isResumable })
    this.known = newer
  }

  /** Reads the operators' records and the instance list; after a failure the next read is due as after a success. */
  private async readLog (): Promise<void> {
    try {
      const operators = await this.readOperators()
      this.recordRead('operators', operators.records)
      for (const record of operators.records) this.putRecord(record)
      this.operatorsNext = operators.next
      this.hasLearned = true
      const instances = await this.context.records.newest('instances')
      this.recordRead('instances', instances.records)
      this.putInstances(instances.records)
    } catch (error) {
      log.warn('no entry subscribes and the log does not answer; continuing with what is known', { reads: this.reads, reason: String(error) })
    }
  }

  /** Reads the newest record of each key the first time since the last subscription, then only what follows. */
  private async readOperators (): Promise<ReadRecords> {
    const { records } = this.context
    if (this.reads <= 1) this.operatorsNext = undefined
    const page = this.operatorsNext === undefined ? undefined : await records.read('operators', this.operatorsNext, monotonicNow(), maximumRecords)
    return page?.kind === 'records' ? page : await records.newest('operators')
  }

  private recordRead (stream: StreamName, records: readonly KeyedRecord[]): void {
    const bytes = records.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0)
    this.context.metrics.count('log_reads_total', { stream })
    this.context.metrics.count('log_read_bytes_total', { stream }, bytes)
    log.info('no entry subscribes: read the log', { stream, records: records.length, bytes, reads: this.reads })
  }

  private putRecord ({ key, value }: KeyedRecord): void {
    const { codec, named, service } = this.context
    const decoded = codec.operatorRecord(key, value)
    // The age of what the first read finds is unknown; requests count as required on it at once, as at entries.
    if (decoded.kind === 'weights') named.merge(decoded.weights.model, { version: decoded.weights.version, ageMilliseconds: this.hasLearned ? 0 : undefined }, logSource)
    else if (decoded.kind === 'configuration') this.putFacts(rolloutFactsOf(decoded.configuration, service), 0, logSource)
  }

  private putInstances (records: readonly KeyedRecord[]): void {
    const { codec, peers, service } = this.context
    const listed = records.flatMap(({ key, value }) => value === undefined ? [] : [codec.upstream(key, value)])
    const upstreams = listed.filter((upstream): upstream is Upstream => !('reason' in upstream) && upstream.service === service)
    peers.addPeers(upstreams.map(({ dataCentre, address }) => [dataCentre, address.split(':')[0] ?? '']))
  }
}
