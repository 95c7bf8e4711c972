/** Grants the slots of the agent's engine to entries that ask for one. */
import { ColdGrants } from '../../core/dispatch/cold-rate.js'
import { SlotLedger } from '../../core/dispatch/slot-ledger.js'
import type { DatagramSocket } from '../../transports/datagrams.js'
import type { EngineReport } from '../../types/fleet.js'
import type { SlotRelease, SlotRequest } from '../../types/node-messages.js'
import { monotonicNow } from '../../utils/clock.js'

/** Answers entries from the engine's last report and the grants since. */
export class SlotGranter {
  private readonly ledger = new SlotLedger()
  private readonly coldGrants = new ColdGrants()
  private isOpen = false

  constructor (private readonly datagrams: DatagramSocket) {}

  /** Applies a report that was just received; `isOpen`: the engine has weights and accepts requests. */
  recordReport ({ running, waiting }: EngineReport, isOpen: boolean): void {
    this.ledger.recordCount(running + waiting, monotonicNow())
    this.isOpen = isOpen
  }

  /** Answers the entry at `ip`; not while the engine's load is not known. */
  answer ({ number, limit, coldLimit }: SlotRequest, ip: string): void {
    const now = monotonicNow()
    const mayGrant = this.coldGrants.mayGrant(coldLimit, now)
    const answer = this.ledger.answer(keyOf(ip, number), this.isOpen && mayGrant ? limit : 0, now)
    if (answer?.isGranted === true) this.coldGrants.record(keyOf(ip, number), now)
    if (answer !== undefined) this.datagrams.send({ kind: 'slot-reply', number, ...answer }, ip)
  }

  /** Takes back a slot that the entry at `ip` has not used. */
  release ({ number }: SlotRelease, ip: string): void {
    this.ledger.release(keyOf(ip, number))
    this.coldGrants.release(keyOf(ip, number))
  }
}

function keyOf (ip: string, number: number): string {
  return `${ip} ${number}`
}
