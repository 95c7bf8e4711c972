/** Streams to the nodes that follow this one. */
import type { Confirmation } from '../core/configuration/confirmation.js'
import { toPeerConfirmation } from '../core/configuration/confirmation.js'
import { fingerprintState, catchUpFrom, type RecordWindow } from '../core/configuration/record-window.js'
import type { FollowEvent, FollowRequest, FollowSession } from '../transports/control.js'
import type { FoldState } from '../types/configuration.js'
import { monotonicNow } from '../utils/clock.js'

/** A deadline that moved by less is not sent again, milliseconds. */
const minimumRenewalMilliseconds = 400
/** A question is answered after this much silence at the latest, milliseconds. */
const heartbeatMilliseconds = 1500
/** A follower that asked within this time was heard, milliseconds. */
const activityTimeoutMilliseconds = 3000

/** What followers are told of. */
export interface ServedView {
  readonly state: FoldState
  readonly window: RecordWindow
  readonly confirmation: Confirmation
}

interface Follower {
  readonly instance: string
  readonly send: (event: FollowEvent) => void
  next: number
  beat: number
  heartbeatReceivedAt: number
  sentAt: number
  sentConfirmation: Confirmation
}

/** All followers of a node. */
export class ServedFollowers {
  private readonly followers = new Set<Follower>()

  constructor (private readonly view: () => ServedView) {}

  /** Instances that asked lately. */
  get activeInstances (): readonly string[] {
    const oldest = monotonicNow() - activityTimeoutMilliseconds
    return [...this.followers].filter(({ heartbeatReceivedAt: askedAt }) => askedAt > oldest).map(({ instance }) => instance)
  }

  /** Starts a stream with everything that the follower lacks. */
  serve (request: FollowRequest, send: (event: FollowEvent) => void): FollowSession {
    const now = monotonicNow()
    const follower: Follower = { instance: request.instance, send, next: request.next, beat: request.beat, heartbeatReceivedAt: now, sentAt: now, sentConfirmation: { confirmedUntil: 0, outageUntil: 0 } }
    this.followers.add(follower)
    this.sendUpdate(follower, this.view())
    return {
      receiveHeartbeat: ({ beat }) => { this.answer(follower, beat) },
      end: () => { this.followers.delete(follower) }
    }
  }

  /** Sends what changed to every follower that does not know it. */
  publish (): void {
    const view = this.view()
    for (const follower of this.followers) if (hasUpdate(follower, view)) this.sendUpdate(follower, view)
  }

  private answer (follower: Follower, beat: number): void {
    follower.beat = beat
    follower.heartbeatReceivedAt = monotonicNow()
    const view = this.view()
    if (hasUpdate(follower, view) || monotonicNow() - follower.sentAt >= heartbeatMilliseconds) this.sendUpdate(follower, view)
  }

  private sendUpdate (follower: Follower, { state, window, confirmation: known }: ServedView): void {
    const now = monotonicNow()
    const { snapshot, records } = catchUpFrom(window, follower.next)
    const digest = state.next >= follower.next && (records.length > 0 || follower.sentConfirmation.confirmedUntil === 0) ? fingerprintState(state) : ''
    follower.next = Math.max(follower.next, state.next)
    follower.sentAt = now
    follower.sentConfirmation = known
    follower.send({ records, next: state.next, snapshot, beat: follower.beat, digest, ...toPeerConfirmation(known, now) })
  }
}

function hasUpdate (follower: Follower, { state, confirmation: known }: ServedView): boolean {
  return state.next > follower.next ||
    known.confirmedUntil - follower.sentConfirmation.confirmedUntil >= minimumRenewalMilliseconds ||
    known.outageUntil - follower.sentConfirmation.outageUntil >= minimumRenewalMilliseconds
}
