/** Grants the slots of the agent's engine to entries that ask for one. */
import { ColdGrants } from '../../core/dispatch/cold-rate.js'
import { decodeOrder } from '../../core/dispatch/rank.js'
import { SlotLedger, type KeyedAnswer } from '../../core/dispatch/slot-ledger.js'
import { EnginePace } from '../../core/dispatch/engine-pace.js'
import type { Metrics } from '../../plugins/metrics.js'
import type { DatagramSocket } from '../../transports/datagrams.js'
import type { EngineReport } from '../../types/fleet.js'
import type { PaceReport, SlotRelease, SlotRequest } from '../../types/node-messages.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('engine')

/** Times between two updates of metrics and two log lines, milliseconds. */
const [showMilliseconds, logMilliseconds] = [1000, 10_000] as const
/** Organisations in one log line. */
const maximumLogged = 5
/** Time between two looks at held requests, milliseconds: short against the time for which they are held. */
const settleMilliseconds = 5

/** Answers entries from the engine's last report and the grants since. */
export class SlotGranter {
  private readonly ledger = new SlotLedger()
  private readonly coldGrants = new ColdGrants()
  private isOpen = false
  private timer: NodeJS.Timeout | undefined
  private readonly pace = new EnginePace()
  /** Requests denied since the last log line. */
  private denied = 0
  private showAt = -Infinity
  private logAt = -Infinity

  constructor (private readonly datagrams: DatagramSocket, private readonly metrics: Metrics) {}

  /** Applies a report that was just received; `isOpen`: the engine has weights and accepts requests. */
  recordReport ({ running, waiting, startedAt }: EngineReport, isOpen: boolean): void {
    this.pace.recordStart(startedAt)
    this.ledger.recordCount(running + waiting, monotonicNow())
    this.isOpen = isOpen
    this.settle()
    this.showUse()
  }

  /** Answers the entry at `ip`; not while the engine's load is not known. */
  answer ({ number, limit, order, coldLimit }: SlotRequest, ip: string): void {
    const now = monotonicNow()
    const [key, request] = [keyOf(ip, number), decodeOrder(order, now)]
    const mayGrant = this.coldGrants.mayGrant(coldLimit, now)
    // Requests that compete are answered together, which could exceed the bound of a cold engine.
    if (request !== undefined && this.isOpen && !this.coldGrants.isCold(now)) {
      this.send(this.ledger.compete(key, limit, now, request))
      this.settleLater()
      return
    }
    const answer = this.ledger.answer(key, this.isOpen && mayGrant ? limit : 0, now)
    if (answer !== undefined) this.send([{ key, ...answer }])
  }

  /** Records the pace that the engine has stated to an entry. */
  recordPace (report: PaceReport): void {
    this.pace.record(report, monotonicNow())
  }

  /** Takes back a slot that the entry at `ip` has not used. */
  release ({ number }: SlotRelease, ip: string): void {
    this.coldGrants.release(keyOf(ip, number))
    this.ledger.release(keyOf(ip, number), monotonicNow())
    this.settle()
  }

  /** Stops answering. */
  stop (): void {
    clearTimeout(this.timer)
  }

  private settle (): void {
    this.send(this.isOpen ? this.ledger.settle(monotonicNow()) : [])
  }

  /** Looks after held requests until none is left. */
  private settleLater (): void {
    if (this.timer !== undefined || !this.ledger.hasHeld) return
    this.timer = setTimeout(() => {
      this.timer = undefined
      this.settle()
      this.settleLater()
    }, settleMilliseconds)
  }

  /** Shows which organisations use the slots of a ranked service, to metrics each second and to the log while requests compete. */
  private showUse (): void {
    const now = monotonicNow()
    if (now < this.showAt) return
    this.showAt = now + showMilliseconds
    const uses = this.ledger.uses(now)
    for (const { organisation, share, work, success } of uses) {
      this.metrics.set('organisation_share', { organisation }, share)
      this.metrics.set('organisation_granted_tokens', { organisation }, Math.round(work))
      this.metrics.set('organisation_granted_asks', { organisation }, Math.round(success * 1000) / 1000)
    }
    if (this.denied === 0 || uses.length === 0 || now < this.logAt) return
    this.logAt = now + logMilliseconds
    const most = [...uses].sort((left, right) => right.work / right.share - left.work / left.share).slice(0, maximumLogged)
    log.info('requests compete for the slots of the engine', { denied: this.denied, organisations: uses.length, most: most.map(({ organisation, share, work }) => `${organisation}:${Math.round(work)}/${share}`).join(' ') })
    this.denied = 0
  }

  private send (answers: readonly KeyedAnswer[]): void {
    const now = monotonicNow()
    const pace = this.pace.at(now)
    for (const { key, ...answer } of answers) {
      const [ip = '', number] = key.split(' ')
      if (answer.isGranted) this.coldGrants.record(key, now)
      else this.denied += 1
      this.metrics.count('slot_answers_total', { result: answer.isGranted ? 'granted' : 'denied' })
      this.datagrams.send({ kind: 'slot-reply', number: Number(number), ...answer, ...pace === undefined ? {} : { pace } }, ip)
    }
  }
}

function keyOf (ip: string, number: number): string {
  return `${ip} ${number}`
}
