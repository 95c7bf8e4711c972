/** Plots of measured tables as SVG, by Vega-Lite. */
import { parse, View } from 'vega'
import { compile, type TopLevelSpec } from 'vega-lite'
import type { MeasureTable, PlotRequest } from '../measure/table.js'

const width = 520
const height = 260

/** SVG of one plot of a table. */
export async function drawPlot (table: MeasureTable, plot: PlotRequest): Promise<string> {
  const rows = table.rows.map(row => ({ ...row, series: plot.series.map(column => String(row[column] ?? '')).join(', ') }))
  const layers: object[] = [{ mark: { type: 'line', point: true }, encoding: encode(plot.y, 'series') }]
  if (plot.bound !== undefined) layers.push({ mark: { type: 'line', strokeDash: [6, 4], color: 'black' }, encoding: { y: { field: plot.bound, type: 'quantitative', aggregate: 'min' } } })
  const spec = {
    width,
    height,
    title: plot.title,
    data: { values: rows },
    encoding: { x: { field: plot.x, type: plot.kind, title: plot.x } },
    layer: layers
  } as unknown as TopLevelSpec
  return await new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG()
}

function encode (y: string, series: string): object {
  return { y: { field: y, type: 'quantitative', title: y }, color: { field: series, type: 'nominal', title: null } }
}
