/** Announces to other agents of the service which chunks this agent holds. */
import { formatBitmap } from '../../core/weights/bitmap.js'
import { primaryFetcher } from '../../core/weights/distribution-plan.js'
import type { DatagramSocket } from '../../transports/datagrams.js'
import { monotonicNow } from '../../utils/clock.js'
import type { VersionChunks } from './chunk-store.js'
import type { PeerTable } from './peer-table.js'

/** Time between two announcements, milliseconds: until the engine serves the fetched version, and afterwards. */
const announcementIntervalMilliseconds = { updating: 100, idle: 1000 } as const

/** State that an announcement carries. */
export interface AnnouncedState {
  readonly chunks: VersionChunks | undefined
  /** Version that the engine serves; 0 for none. */
  readonly served: number
  /** Whether the engine swaps its weights, or is closed to requests before it does. */
  readonly isSwapping: boolean
}

/** Sends one agent's announcements. */
export class Announcer {
  /** Milliseconds of the monotonic clock. */
  private announcedAt = 0

  constructor (private readonly dataCentre: string, private readonly datagrams: DatagramSocket, private readonly peers: PeerTable, private readonly readState: () => AnnouncedState) {}

  /** Announces to the selected peers, unless the last announcement is too recent. */
  announce (): void {
    const { chunks, served } = this.readState()
    const now = monotonicNow()
    const interval = served >= (chunks?.version ?? 0) ? announcementIntervalMilliseconds.idle : announcementIntervalMilliseconds.updating
    if (now - this.announcedAt < interval) return
    this.announcedAt = now
    this.sendTo(this.peers.announcementTargets().map(({ ip }) => ip))
  }

  /** Announces at once to the agent of each other data centre that is the primary fetcher of a chunk there. */
  announceToPrimaryFetchers (position: number): void {
    this.sendTo(this.peers.otherDataCentres().flatMap(members => primaryFetcher(position, members) ?? []))
  }

  /** Announces at once to some agents; sends nothing before the first fetch. */
  sendTo (ips: readonly string[]): void {
    const { chunks, served, isSwapping } = this.readState()
    if (chunks === undefined) return
    const heldInDataCentre = this.peers.heldInDataCentreText(chunks.model, chunks.version, chunks.digests.length, chunks.held)
    const message = { kind: 'holdings', dataCentre: this.dataCentre, model: chunks.model, version: chunks.version, held: formatBitmap(chunks.held), heldInDataCentre, served, isSwapping } as const
    for (const ip of ips) this.datagrams.send(message, ip)
  }
}
