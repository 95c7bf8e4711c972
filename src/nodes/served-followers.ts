/** Streams of updates to the nodes that follow this one. */
import type { Confirmation } from '../core/configuration/confirmation.js'
import { toPeerConfirmation } from '../core/configuration/confirmation.js'
import { fingerprintState, catchUpFrom, type RecordWindow } from '../core/configuration/record-window.js'
import type { FollowEvent, FollowRequest, FollowSession } from '../transports/control.js'
import type { FoldState } from '../types/configuration.js'
import { monotonicNow } from '../utils/clock.js'

/** A confirmation that was extended by less than this is not sent again. */
const minimumRenewalMilliseconds = 400
/** A heartbeat is answered even without changes when the last event was sent at least this long ago. */
const heartbeatMilliseconds = 1500
/** A follower that sent a heartbeat within this time counts as active. */
const activityTimeoutMilliseconds = 3000

/** State of the node that is sent to followers. */
export interface ServedView {
  readonly state: FoldState
  readonly window: RecordWindow
  readonly confirmation: Confirmation
}

/** A node that follows this one; times in milliseconds of the monotonic clock. */
interface Follower {
  readonly instance: string
  readonly send: (event: FollowEvent) => void
  /** Offset after the last record that was sent. */
  next: number
  /** Number of the last received heartbeat, returned in events. */
  beat: number
  heartbeatReceivedAt: number
  sentAt: number
  sentConfirmation: Confirmation
}

/** All followers of a node. */
export class ServedFollowers {
  private readonly followers = new Set<Follower>()

  constructor (private readonly view: () => ServedView) {}

  /** Instances whose last heartbeat is recent. */
  get activeInstances (): readonly string[] {
    const oldest = monotonicNow() - activityTimeoutMilliseconds
    return [...this.followers].filter(({ heartbeatReceivedAt }) => heartbeatReceivedAt > oldest).map(({ instance }) => instance)
  }

  /** Starts a stream; its first event holds everything that the follower lacks. */
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

  /** Sends an event to each follower that lacks records or a renewed confirmation. */
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

  private sendUpdate (follower: Follower, { state, window, confirmation }: ServedView): void {
    const now = monotonicNow()
    const { snapshot, records } = catchUpFrom(window, follower.next)
    const digest = state.next >= follower.next && (records.length > 0 || follower.sentConfirmation.confirmedUntil === 0) ? fingerprintState(state) : ''
    follower.next = Math.max(follower.next, state.next)
    follower.sentAt = now
    follower.sentConfirmation = confirmation
    follower.send({ records, next: state.next, snapshot, beat: follower.beat, digest, ...toPeerConfirmation(confirmation, now) })
  }
}

function hasUpdate (follower: Follower, { state, confirmation }: ServedView): boolean {
  return state.next > follower.next ||
    confirmation.confirmedUntil - follower.sentConfirmation.confirmedUntil >= minimumRenewalMilliseconds ||
    confirmation.outageUntil - follower.sentConfirmation.outageUntil >= minimumRenewalMilliseconds
}
