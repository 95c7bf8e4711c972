/** Grants the slots of the agent's engine to entries that ask for one. */
import { SlotLedger } from '../../core/dispatch/slot-ledger.js'
import { maximumStatedPace, paceChangeMilliseconds, type StatedPace } from '../../core/dispatch/upstream-pace.js'
import type { DatagramSocket } from '../../transports/datagrams.js'
import type { EngineReport } from '../../types/fleet.js'
import type { PaceReport, SlotRelease, SlotReply, SlotRequest } from '../../types/node-messages.js'
import { monotonicNow } from '../../utils/clock.js'

/** Answers entries from the engine's last report and the grants since. */
export class SlotGranter {
  private readonly ledger = new SlotLedger()
  private isOpen = false
  /** Start of the engine by its last report, epoch milliseconds. */
  private startedAt: number | undefined
  /** Last pace of that start that an entry has told. */
  private stated: StatedPace | undefined

  constructor (private readonly datagrams: DatagramSocket) {}

  /** Applies a report that was just received; `isOpen`: the engine has weights and accepts requests. */
  recordReport ({ running, waiting, startedAt }: EngineReport, isOpen: boolean): void {
    if (startedAt !== this.startedAt) this.stated = undefined
    this.startedAt = startedAt
    this.ledger.recordCount(running + waiting, monotonicNow())
    this.isOpen = isOpen
  }

  /** Answers the entry at `ip`; not while the engine's load is not known. */
  answer ({ number, limit }: SlotRequest, ip: string): void {
    const answer = this.ledger.answer(keyOf(ip, number), this.isOpen ? limit : 0, monotonicNow())
    if (answer !== undefined) this.datagrams.send({ kind: 'slot-reply', number, ...answer, ...this.statedPace() }, ip)
  }

  /** Records the pace that the engine has stated to an entry; that of an earlier start and one out of range are ignored. */
  recordPace ({ startedAt, pace }: PaceReport): void {
    if (startedAt !== this.startedAt || !(pace > 0 && pace <= maximumStatedPace)) return
    this.stated = { value: pace, at: monotonicNow() }
  }

  /** The last pace as a reply carries it; none once it says nothing any more. */
  private statedPace (): Pick<SlotReply, 'pace'> {
    if (this.stated === undefined) return {}
    const ageMilliseconds = Math.round(monotonicNow() - this.stated.at)
    return ageMilliseconds > paceChangeMilliseconds ? {} : { pace: { value: this.stated.value, ageMilliseconds } }
  }

  /** Takes back a slot that the entry at `ip` has not used. */
  release ({ number }: SlotRelease, ip: string): void {
    this.ledger.release(keyOf(ip, number))
  }
}

function keyOf (ip: string, number: number): string {
  return `${ip} ${number}`
}
