/** Announces to other agents of the service which chunks this agent holds. */
import { isAnnouncementDue, type LastAnnouncement } from '../../core/weights/announcement-plan.js'
import { emptyBitmap, formatBitmap } from '../../core/weights/bitmap.js'
import { primaryFetcher } from '../../core/weights/distribution-plan.js'
import type { DatagramSocket } from '../../transports/datagrams.js'
import { monotonicNow } from '../../utils/clock.js'
import type { VersionChunks } from './chunk-store.js'
import type { PeerTable } from './peer-table.js'

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
  private readonly last = new Map<string, LastAnnouncement>()

  constructor (private readonly dataCentre: string, private readonly datagrams: DatagramSocket, private readonly peers: PeerTable, private readonly readState: () => AnnouncedState) {}

  /** Announces to the selected peers that are due for an announcement. */
  announce (): void {
    const { chunks, served, isSwapping } = this.readState()
    if (chunks === undefined) return
    const { model, version, digests } = chunks
    const now = monotonicNow()
    const targets = this.peers.announcementTargets().map(({ ip }) => ip)
    const offered = served < version ? this.peers.heldInDataCentre(model, version, digests.length, chunks.held) : emptyBitmap(digests.length)
    if (this.last.size > targets.length) this.forgetAllBut(new Set(targets))
    this.sendTo(targets.filter(ip => isAnnouncementDue({ offered, version, served, isSwapping }, this.peers.heldBy(ip, model, version, digests.length), this.last.get(ip), now)))
  }

  private forgetAllBut (targets: ReadonlySet<string>): void {
    for (const ip of this.last.keys()) if (!targets.has(ip)) this.last.delete(ip)
  }

  /** Announces at once to the agent of each other data centre that is the primary fetcher of a chunk there. */
  announceToPrimaryFetchers (position: number): void {
    this.sendTo(this.peers.otherDataCentres().flatMap(members => primaryFetcher(position, members) ?? []))
  }

  /** Announces at once to some agents; sends nothing before the first fetch. */
  sendTo (ips: readonly string[]): void {
    const { chunks, served, isSwapping } = this.readState()
    if (chunks === undefined || ips.length === 0) return
    const { model, version, digests, held } = chunks
    const heldInDataCentre = formatBitmap(this.peers.heldInDataCentre(model, version, digests.length, held))
    this.datagrams.sendToAll({ kind: 'holdings', dataCentre: this.dataCentre, model, version, held: formatBitmap(held), heldInDataCentre, served, isSwapping }, ips)
    const last = { at: monotonicNow(), version, served, isSwapping }
    for (const ip of ips) this.last.set(ip, last)
  }
}
