/** Keeps a node's configuration up to date: readers poll the log, other nodes follow them, and the offset never decreases. */
import { confirmByPeer, confirmByRead, mayTakeWork, reportOutage, unconfirmed, type Confirmation } from '../core/configuration/confirmation.js'
import { placeNode, type FanOutPlacement } from '../core/configuration/fan-out.js'
import { emptyFold, foldPage } from '../core/configuration/fold.js'
import { foldPeerUpdate } from '../core/configuration/peer-update.js'
import { writerRank } from '../core/configuration/snapshots.js'
import { emptyWindow, extendWindow, fingerprintState, type RecordWindow } from '../core/configuration/record-window.js'
import type { FollowEvent, FollowRequest, FollowSession } from '../transports/control.js'
import type { LogClient } from '../transports/log-client.js'
import type { FoldState } from '../types/configuration.js'
import type { ListedInstance, StoredRecord } from '../types/platform.js'
import { runInBackground } from '../utils/background.js'
import { withDeadline, monotonicNow, waitUntil } from '../utils/clock.js'
import { logFor } from '../utils/log.js'
import { FollowedPeers, type PeerHost } from './followed-peers.js'
import { readPage } from './log-reader.js'
import { ServedFollowers } from './served-followers.js'
import { SnapshotWriter } from './snapshot-writer.js'

/** How long the log may hold one read open until records arrive. */
const longPollMilliseconds = 800
const readTimeoutMilliseconds = 1800
/** Pause after a page with records, so that records in quick succession are read together. */
const batchPauseMilliseconds = 20
/** Pause of a reader after a failed read. */
const readerRetryMilliseconds = 250
/** Minimum pause of any other node after a failed read; a random addition of up to the same again spreads the retries. */
const directReadRetryMilliseconds = 1000
const maintenanceIntervalMilliseconds = 200
/** Remaining time of the peers' confirmation below which a node also follows backups. */
const backupThresholdMilliseconds = 1600
/** Remaining time of the peers' confirmation below which a node that is no reader reads the log itself. */
const directReadThresholdMilliseconds = 1000
/** Random addition to both thresholds, so that nodes do not turn to the log at the same time. */
const directReadJitterMilliseconds = 500
/** Additional time after the start in which the first events of peers may arrive before the log is read. */
const startGraceMilliseconds = 700

const log = logFor('configuration')

/** The part of the instance directory that the follower uses. */
export interface InstanceSource {
  readonly instances: readonly ListedInstance[]
  onChange (listener: () => void): void
}

/** Dependencies of the follower and the identity of its node. */
export interface FollowerOptions {
  readonly client: LogClient
  readonly directory: InstanceSource
  readonly instance: string
  readonly dataCentre: string
}

/** Follows the configuration stream through peers or the log. */
export class ConfigurationFollower implements PeerHost {
  private folded: FoldState = emptyFold
  private window: RecordWindow = emptyWindow
  private confirmation: Confirmation = unconfirmed
  private cachedPlacement: { readonly instances: readonly ListedInstance[], readonly logDataCentre: string, readonly placement: FanOutPlacement } | undefined
  private readonly peers = new FollowedPeers(this)
  private readonly served = new ServedFollowers(() => ({ state: this.folded, window: this.window, confirmation: this.confirmation }))
  private readonly snapshots: SnapshotWriter
  private readonly stopping = new AbortController()
  private readonly listeners = new Set<() => void>()
  private readonly jitterMilliseconds = Math.random() * directReadJitterMilliseconds
  private maintenance: NodeJS.Timeout | undefined
  /** Latest time up to which peers confirmed the configuration or an outage of the log, milliseconds of the monotonic clock. */
  private peerDeadline = 0
  /** Whether the last read of the log succeeded. */
  logReachable = false
  private logFailing = false
  /** Whether the last page reached the end of the log; a snapshot of an older state would omit the records before its own offset. */
  private isAtEnd = false

  constructor (private readonly options: FollowerOptions) {
    this.snapshots = new SnapshotWriter(options.client)
  }

  /** Folded state with the configuration in force. */
  get state (): FoldState {
    return this.folded
  }

  /** Time until which the configuration counts as confirmed, milliseconds of the monotonic clock. */
  get confirmedUntil (): number {
    return Math.floor(this.confirmation.confirmedUntil)
  }

  /** Identifier of this node's instance. */
  get instance (): string {
    return this.options.instance
  }

  /** Offset of the next record to fold. */
  get next (): number {
    return this.folded.next
  }

  /** Whether the node may take new work at `now`, in milliseconds of the monotonic clock. */
  mayTakeWork (now = monotonicNow()): boolean {
    const { configuration } = this.folded
    return configuration === undefined || mayTakeWork(this.confirmation, configuration.deployment.whenIsolated, now)
  }

  /** Registers a callback for each change of the state. */
  onChange (listener: () => void): void {
    this.listeners.add(listener)
  }

  start (): void {
    this.peerDeadline = monotonicNow() + directReadThresholdMilliseconds + directReadJitterMilliseconds + startGraceMilliseconds
    this.options.directory.onChange(() => { this.maintain() })
    this.maintenance = setInterval(() => { this.maintain() }, maintenanceIntervalMilliseconds)
    runInBackground(this.readContinuously(), log, 'read the log')
  }

  stop (): void {
    this.stopping.abort()
    clearInterval(this.maintenance)
    this.peers.stop()
  }

  /** Opens a stream of updates to a node that follows this one. */
  serve (request: FollowRequest, send: (event: FollowEvent) => void): FollowSession {
    return this.served.serve(request, send)
  }

  /** Applies an event of a peer, which answers a heartbeat sent at `sentAt`; false when the peer's state differs at the same offset. */
  receive (event: FollowEvent, peer: ListedInstance, sentAt: number): boolean {
    this.applyState(foldPeerUpdate(this.folded, event), event.records)
    if (event.digest !== '' && event.next === this.folded.next && event.digest !== fingerprintState(this.folded)) {
      log.error('a peer holds another configuration at the same offset', { peer: peer.instance, offset: event.next })
      return false
    }
    const peerConfirmation = confirmByPeer(unconfirmed, event, sentAt, this.folded.next >= event.next)
    this.peerDeadline = Math.max(this.peerDeadline, peerConfirmation.confirmedUntil, peerConfirmation.outageUntil)
    this.updateConfirmation(confirmByPeer(this.confirmation, event, sentAt, this.folded.next >= event.next))
    return true
  }

  private async readContinuously (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      if (this.shouldReadLog) await this.readOnce()
      else await waitUntil(Date.now() + maintenanceIntervalMilliseconds, this.stopping.signal)
    }
  }

  private get shouldReadLog (): boolean {
    return this.place().isReader || this.peerDeadline - monotonicNow() < directReadThresholdMilliseconds + this.jitterMilliseconds
  }

  private async readOnce (): Promise<void> {
    const sentAt = monotonicNow()
    try {
      const reading = readPage(this.options.client, this.folded, Date.now() + longPollMilliseconds)
      const page = await withDeadline(reading, Date.now() + readTimeoutMilliseconds, 'the log did not answer in time')
      this.logReachable = true
      this.logFailing = false
      this.applyState(foldPage(this.folded, page), page.records)
      this.isAtEnd = this.folded.next >= page.next
      if (this.isAtEnd) this.updateConfirmation(confirmByRead(this.confirmation, sentAt))
      else if (page.records.length === 0 || page.first > this.folded.next) throw new Error(`the log has no snapshot from which offset ${this.folded.next} can be resumed`)
      if (page.records.length > 0) await waitUntil(Date.now() + batchPauseMilliseconds, this.stopping.signal)
    } catch (error) {
      if (this.stopping.signal.aborted) return
      if (!this.logFailing) log.warn('the log cannot be read', { reason: String(error) })
      this.logReachable = false
      this.logFailing = true
      const pause = this.place().isReader ? readerRetryMilliseconds : directReadRetryMilliseconds * (1 + Math.random())
      await waitUntil(Date.now() + pause, this.stopping.signal)
    }
  }

  private applyState (state: FoldState, records: readonly StoredRecord[]): void {
    if (state.next <= this.folded.next) return
    const windowEnd = this.window.base.next + this.window.records.length
    this.window = extendWindow(this.window, state, records)
    this.snapshots.observe(records)
    if (this.window.base.next > windowEnd) this.snapshots.skipTo(this.window.base.next - 1)
    this.folded = state
    this.served.publish()
    for (const listener of this.listeners) listener()
  }

  private updateConfirmation (confirmation: Confirmation): void {
    this.confirmation = confirmation
    this.served.publish()
  }

  /** Updates the followed peers, checks whether the log is down for all nodes, and writes a snapshot when one is due. */
  private maintain (): void {
    if (this.stopping.signal.aborted) return
    const now = monotonicNow()
    const { dataCentre, directory } = this.options
    const { isReader, parents, backups, hasLocalPeers, position } = this.place()
    const needsBackups = isReader || this.peerDeadline - now < backupThresholdMilliseconds + this.jitterMilliseconds
    this.peers.setPeers(needsBackups ? [...parents, ...backups] : parents)
    const isInLogDataCentre = this.logDataCentre === dataCentre
    const hasResponsivePeer = !hasLocalPeers || this.peers.hasResponsivePeer(dataCentre) || this.isFollowedInDataCentre()
    this.updateConfirmation(reportOutage(this.confirmation, { isInLogDataCentre, isLogFailing: this.logFailing, hasResponsivePeer }, now))
    if (isReader && this.isAtEnd && now < this.confirmation.confirmedUntil) {
      runInBackground(this.snapshots.writeIfDue(this.folded, writerRank(directory.instances, dataCentre, position)), log, 'write a snapshot')
    }
  }

  /** Whether a node of this data centre follows this one and sent a heartbeat recently. */
  private isFollowedInDataCentre (): boolean {
    const { directory, dataCentre } = this.options
    const active = new Set(this.served.activeInstances)
    return directory.instances.some(listed => listed.dataCentre === dataCentre && active.has(listed.instance))
  }

  private get logDataCentre (): string {
    return this.folded.configuration?.deployment.logDataCentre ?? ''
  }

  /** Placement of this node in the fan-out; computed again only when the instance list or the log's data centre changed. */
  private place (): FanOutPlacement {
    const { directory, instance, dataCentre } = this.options
    const { instances } = directory
    const { logDataCentre } = this
    if (this.cachedPlacement?.instances !== instances || this.cachedPlacement.logDataCentre !== logDataCentre) {
      this.cachedPlacement = { instances, logDataCentre, placement: placeNode(instances, { instance, dataCentre }, logDataCentre) }
    }
    return this.cachedPlacement.placement
  }
}
