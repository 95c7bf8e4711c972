/** Placement: which upstream takes a request, and when none should. */

/** An upstream that may take a request, as one entry sees it. */
export interface Candidate {
  readonly id: string
  /** Requests believed to run or wait there. */
  readonly load: number
  /** Requests that this entry may send there now. */
  readonly freeSlots: number
  /** Requests of this entry there whose answer has not begun. */
  readonly unstarted: number
  readonly isSameDataCentre: boolean
  /** Requests' worth of aversion, from failures and slowness seen there. */
  readonly penalty: number
}

/** How much of an upstream a request may use. */
export interface Admission {
  /** Requests that may wait at the upstream beyond its slots. */
  readonly waiting: number
  /** Requests that may be there for each slot. */
  readonly requestsPerSlot: number
}

/** Requests' worth that an upstream of another data centre is put behind: bytes between regions have a price, a wait costs more. */
const otherDataCentrePenalty = 3
/** Requests' worth of a request whose prompt is still to be read: it holds up the next one's first event, a running one hardly. */
const unstartedPenalty = 2

/** Most requests that may be at an upstream for one more to be sent. */
export function concurrencyLimit (slots: number, admission: Admission): number {
  return slots * admission.requestsPerSlot + admission.waiting
}

/**
 * The better of two upstreams nearby and two far away, drawn by chance. Load pattern: arrivals near the capacity of all
 * upstreams, from entries that see each other's requests a report late; if all of them took the least loaded one, an
 * upstream that has just come would get every request of that time, and its callers would wait behind the reading of
 * all their prompts. A request is refused or waits at the entry where none has room.
 */
export function placeRequest (candidates: readonly Candidate[], random: () => number): Candidate | undefined {
  const open = candidates.filter(({ freeSlots: room }) => room >= 1)
  const near = pickTwo(open.filter(({ isSameDataCentre: isNear }) => isNear), random)
  const far = pickTwo(open.filter(({ isSameDataCentre: isNear }) => !isNear), random)
  return [...near, ...far].reduce<Candidate | undefined>((best, candidate) => best === undefined || costOf(candidate) < costOf(best) ? candidate : best, undefined)
}

function pickTwo (candidates: readonly Candidate[], random: () => number): readonly Candidate[] {
  if (candidates.length <= 2) return candidates
  const first = Math.floor(random() * candidates.length)
  const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length
  return candidates.filter((_, index) => index === first || index === second)
}

function costOf (candidate: Candidate): number {
  return candidate.load + candidate.unstarted * unstartedPenalty + candidate.penalty + (candidate.isSameDataCentre ? 0 : otherDataCentrePenalty)
}
