/** Tells the other agents of the service which chunks this one holds. */
import { formatBitmap } from '../../core/weights/bitmap.js'
import { primaryFetcher } from '../../core/weights/distribution-plan.js'
import type { Datagrams } from '../../transports/datagrams.js'
import { steadyNow } from '../../utils/clock.js'
import type { VersionChunks } from './chunk-store.js'
import type { PeerTable } from './peer-table.js'

/** Time between two announcements of chunks, milliseconds: while they change, and otherwise. */
const announcementIntervalMilliseconds = { updating: 100, idle: 1000 } as const

/** What an announcement tells. */
export interface AnnouncedState {
  readonly chunks: VersionChunks | undefined
  /** Version that the engine serves whole; 0 for none. */
  readonly served: number
  readonly isSwapping: boolean
}

/** One agent's announcements. */
export class Announcer {
  private announcedAt = 0

  constructor (private readonly dataCentre: string, private readonly datagrams: Datagrams, private readonly peers: PeerTable, private readonly readState: () => AnnouncedState) {}

  /** Tells the agents that this one exchanges with, not more often than is useful. */
  announce (): void {
    const { chunks, served } = this.readState()
    const now = steadyNow()
    const interval = served >= (chunks?.version ?? 0) ? announcementIntervalMilliseconds.idle : announcementIntervalMilliseconds.updating
    if (now - this.announcedAt < interval) return
    this.announcedAt = now
    this.sendTo(this.peers.announcementTargets().map(({ ip }) => ip))
  }

  /** Tells the agents that bring a chunk into the other data centres where it is now. */
  announceToPrimaryFetchers (position: number): void {
    this.sendTo(this.peers.otherDataCentres().flatMap(members => primaryFetcher(position, members) ?? []))
  }

  /** Tells some agents. */
  sendTo (ips: readonly string[]): void {
    const { chunks, served, isSwapping: isSwapping } = this.readState()
    if (chunks === undefined) return
    const heldInDataCentre = this.peers.heldInDataCentreText(chunks.model, chunks.version, chunks.digests.length, chunks.held)
    const message = { kind: 'holdings', dataCentre: this.dataCentre, model: chunks.model, version: chunks.version, held: formatBitmap(chunks.held), nearby: heldInDataCentre, served, isChanging: isSwapping } as const
    for (const ip of ips) this.datagrams.send(message, ip)
  }
}
