/** Liveness check of a specification: an end state can be reached from every state. */
import { fromTransition } from 'xstate'
import { getAdjacencyMap } from 'xstate/graph'
import type { Action, Specification } from './explore.js'

/** Number of states, and of those from which no end state can be reached. */
export interface Progress {
  readonly states: number
  readonly stuck: number
}

/** Visits all states, then searches backwards from the end states (`isEnd`); throws when there are more than `limit` states. */
export function exploreProgress<State extends object> (specification: Specification<State>, isEnd: (state: State) => boolean, limit: number): Progress {
  const logic = fromTransition((state: State, action: Action) => specification.next(state, action), specification.initial)
  const keyOf = (state: State): string => JSON.stringify(state)
  const visited = Object.values(getAdjacencyMap(logic, {
    events: snapshot => specification.actionsOf(snapshot.context),
    serializeState: snapshot => keyOf(snapshot.context),
    limit
  }))
  const predecessors = new Map<string, string[]>()
  for (const { state, transitions } of visited) {
    for (const { state: successor } of Object.values(transitions as Readonly<Record<string, { readonly state: { readonly context: State } }>>)) {
      const key = keyOf(successor.context)
      predecessors.set(key, [...predecessors.get(key) ?? [], keyOf(state.context)])
    }
  }
  const open = visited.filter(({ state }) => isEnd(state.context)).map(({ state }) => keyOf(state.context))
  const reaching = new Set(open)
  for (let key = open.pop(); key !== undefined; key = open.pop()) {
    for (const predecessor of predecessors.get(key) ?? []) {
      if (reaching.has(predecessor)) continue
      reaching.add(predecessor)
      open.push(predecessor)
    }
  }
  return { states: visited.length, stuck: visited.length - reaching.size }
}
