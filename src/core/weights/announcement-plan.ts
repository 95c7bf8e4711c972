/** How often an agent announces its chunks to another one. */
import { hasBitsOutside, type Bitmap } from './bitmap.js'

/** Time between two announcements to an agent, milliseconds: while it can use them, and to show that this one is alive. */
const intervalMilliseconds = { updating: 100, idle: 1000 } as const

/** What an agent would announce now. */
export interface Announceable {
  /** Chunks held here or known to be held in this data centre. */
  readonly offered: Bitmap
  /** Version of these chunks. */
  readonly version: number
  /** Version that the engine serves; 0 for none. */
  readonly served: number
  readonly isSwapping: boolean
}

/** Last announcement to one agent. */
export interface LastAnnouncement {
  /** Milliseconds of the monotonic clock. */
  readonly at: number
  readonly version: number
  readonly served: number
  readonly isSwapping: boolean
}

/**
 * Whether to announce to an agent at `now` (milliseconds of the monotonic clock), which `held` chunks of the version when it
 * last announced them, undefined if it never did. An agent that holds all that is offered learns only what it needs for
 * the swap schedule: that this agent is alive, and when its engine swaps.
 */
export function isAnnouncementDue (state: Announceable, held: Bitmap | undefined, last: LastAnnouncement | undefined, now: number): boolean {
  if (last === undefined) return true
  const isUpdating = state.served < state.version && (held === undefined || hasBitsOutside(state.offered, held))
  const isChanged = last.version !== state.version || last.served !== state.served || last.isSwapping !== state.isSwapping
  return now - last.at >= (isUpdating || isChanged ? intervalMilliseconds.updating : intervalMilliseconds.idle)
}
